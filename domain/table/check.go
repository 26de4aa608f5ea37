package table

import (
	"encoding/hex"
	"fmt"
	"regexp"

	"lentilstage.dev/domain/value"
)

// checker collects the problems of a table.
type checker struct {
	problems   Problems
	nameCounts map[RowKey]int
}

// namePattern restricts names to text that is safe in a URL path and in a log line.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Check validates the table and returns all problems. Problems with the number of rows and
// with names come first, then those of accounts, versions and routes.
func (t Table) Check() Problems {
	c := &checker{nameCounts: make(map[RowKey]int)}
	if rows := len(t.Accounts) + len(t.Versions) + len(t.Routes) + len(t.DataCentres); rows > MaxRows {
		c.add(RowKey{}, "", "the table has %d rows; the limit is %d", rows, MaxRows)
	}
	for _, sheet := range sheets {
		for _, row := range t.rowsOf(sheet) {
			c.checkName(row.Key())
		}
	}
	c.checkAccounts(t.Accounts)
	c.checkVersions(t.Versions)
	c.checkRoutes(t)
	return c.problems
}

// rowsOf returns the rows of a sheet.
func (t Table) rowsOf(sheet Sheet) []Row {
	var rows []Row
	switch sheet {
	case Accounts:
		for _, a := range t.Accounts {
			rows = append(rows, a)
		}
	case Versions:
		for _, v := range t.Versions {
			rows = append(rows, v)
		}
	case Routes:
		for _, r := range t.Routes {
			rows = append(rows, r)
		}
	case DataCentres:
		for _, d := range t.DataCentres {
			rows = append(rows, d)
		}
	}
	return rows
}

// add records a problem.
func (c *checker) add(row RowKey, column, format string, arguments ...any) {
	c.problems = append(c.problems, Problem{Row: row, Column: column, Message: fmt.Sprintf(format, arguments...)})
}

// checkName rejects a malformed or duplicate name. A duplicate is reported once.
func (c *checker) checkName(key RowKey) {
	if !namePattern.MatchString(key.Name) {
		c.add(key, "Name", "a name has 1 to 63 of a-z, 0-9, '.', '_', '-' and starts with a letter or digit")
	}
	c.nameCounts[key]++
	if c.nameCounts[key] == 2 {
		c.add(key, "Name", "the name stands twice")
	}
}

// checkRange rejects a number outside the range from low to high, and NaN.
func (c *checker) checkRange(key RowKey, column string, number, low, high float64) {
	if !(number >= low && number <= high) {
		c.add(key, column, "%g is outside %g to %g", number, low, high)
	}
}

func (c *checker) checkAccounts(accounts []Account) {
	const maxLimit = 1e9
	var total float64
	exceeded := false
	owners := make(map[string]string)
	for _, a := range accounts {
		key := a.Key()
		c.checkRange(key, "Share", a.Share, 0, 1)
		c.checkRange(key, "MaxInFlight", float64(a.MaxInFlight), 0, maxLimit)
		c.checkRange(key, "TokensPerSecond", a.TokensPerSecond, 0, maxLimit)
		c.checkRange(key, "SpendPerHour", a.SpendPerHour, 0, maxLimit)
		if len(a.KeyHashes) == 0 {
			c.add(key, "KeyHashes", "the account has no key")
		}
		for _, hash := range a.KeyHashes {
			if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
				c.add(key, "KeyHashes", "%q is not a hex SHA-256 hash", hash)
			}
			owner, exists := owners[hash]
			if !exists {
				owners[hash] = a.Name
			} else if owner != a.Name {
				c.add(key, "KeyHashes", "account %s has the same key", owner)
			}
		}
		total += a.Share
		if total > 1+1e-9 && !exceeded {
			c.add(key, "Share", "the shares of all accounts add up to more than 1")
			exceeded = true
		}
	}
}

func (c *checker) checkVersions(versions []Version) {
	for _, v := range versions {
		key := v.Key()
		c.checkKind(key, v.Kind)
		if v.Kind == Model && v.Weights == "" {
			c.add(key, "Weights", "a model version names its weights")
		}
		if v.MinReplicas < 0 {
			c.add(key, "MinReplicas", "%d is below 0", v.MinReplicas)
		}
		if v.MaxReplicas != 0 && v.MaxReplicas < v.MinReplicas {
			c.add(key, "MaxReplicas", "%d is below MinReplicas %d", v.MaxReplicas, v.MinReplicas)
		}
		if v.MaxPrice < 0 {
			c.add(key, "MaxPrice", "%g is below 0", v.MaxPrice)
		}
	}
}

func (c *checker) checkKind(key RowKey, kind Kind) {
	if kind != Model && kind != Plain {
		c.add(key, "Kind", "%q is neither Model nor Plain", kind)
	}
}

func (c *checker) checkRoutes(t Table) {
	kinds := make(map[string]Kind, len(t.Versions))
	for _, v := range t.Versions {
		kinds[v.Name] = v.Kind
	}
	names := make([]string, 0, len(t.Accounts))
	for _, a := range t.Accounts {
		names = append(names, a.Name)
	}
	accounts := value.NewSet(names...)
	for _, r := range t.Routes {
		c.checkRoute(r, kinds, accounts)
	}
}

func (c *checker) checkRoute(r Route, kinds map[string]Kind, accounts value.Set[string]) {
	const maxTargetMs = 600_000
	key := r.Key()
	c.checkKind(key, r.Kind)
	c.checkRange(key, "Priority", float64(r.Priority), 0, 9)
	c.checkRange(key, "FirstTokenMs", float64(r.FirstTokenMs), 0, maxTargetMs)
	c.checkRange(key, "BetweenTokensMs", float64(r.BetweenTokensMs), 0, maxTargetMs)
	if len(r.Versions) == 0 {
		c.add(key, "Versions", "the route has no version")
	}
	var total float64
	for _, w := range r.Versions {
		c.checkVersionRef(key, "Versions", w.Version, r.Kind, kinds)
		if !(w.Weight >= 0 && w.Weight <= 1e6) {
			c.add(key, "Versions", "weight %g of %s is outside 0 to 1e6", w.Weight, w.Version)
		}
		total += w.Weight
	}
	if len(r.Versions) > 0 && total <= 0 {
		c.add(key, "Versions", "no version has a weight above 0")
	}
	for _, a := range r.Accounts {
		if !accounts.Has(a) {
			c.add(key, "Accounts", "there is no account %q", a)
		}
	}
	if r.Kind == Model && r.Repeatable {
		c.add(key, "Repeatable", "only a plain route has this column")
	}
	c.checkMove(r, kinds)
}

func (c *checker) checkVersionRef(key RowKey, column, name string, kind Kind, kinds map[string]Kind) {
	found, ok := kinds[name]
	switch {
	case !ok:
		c.add(key, column, "there is no version %q", name)
	case found != kind:
		c.add(key, column, "version %q is of kind %s, the route of kind %s", name, found, kind)
	}
}

func (c *checker) checkMove(r Route, kinds map[string]Kind) {
	key := r.Key()
	if r.MoveTo == "" {
		if !r.MoveDeadline.IsZero() {
			c.add(key, "MoveDeadline", "a deadline without MoveTo")
		}
		if r.FirstShare != 0 {
			c.add(key, "FirstShare", "a first share without MoveTo")
		}
		return
	}
	c.checkVersionRef(key, "MoveTo", r.MoveTo, r.Kind, kinds)
	c.checkRange(key, "FirstShare", r.FirstShare, 0, MaxFirstShare)
	if r.MoveDeadline.IsZero() {
		c.add(key, "MoveDeadline", "a move needs a deadline")
	}
	for _, w := range r.Versions {
		if w.Version == r.MoveTo {
			c.add(key, "MoveTo", "%s already has a part of the route", r.MoveTo)
		}
	}
}
