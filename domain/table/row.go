// Package table implements the operators' table: its rows, their validation, the changes that
// operators publish, and the fold that applies the changes in log order.
//
// # Usage
//
//	draft, problems := table.Parse(yamlText)
//	change, err := draft.ChangeFrom(current, operator)
//	next, outcome := state.Fold(offset, record)
//
// The operators' tools and the daemons share the same validation. Fold is a pure function
// of the log's records, so that all daemons that have read the log up to the same offset have
// the same table.
package table

import (
	"strings"
	"time"
)

type (
	// Kind is the protocol of a version or route.
	Kind string

	// Row is the interface of the rows of all sheets.
	Row interface {
		// Key returns the sheet and name of the row.
		Key() RowKey
		// Base returns the revision that the row was edited from.
		Base() int64
	}

	// RowKey identifies a row by its sheet and its name in that sheet.
	RowKey struct {
		Sheet Sheet  `json:"Sheet"`
		Name  string `json:"Name"`
	}

	// Sheet is the name of one of the four groups of rows.
	Sheet string

	// Account is the row of a client account.
	Account struct {
		Name string `json:"Name" yaml:"Name"`
		// Revision is one more than the log offset of the record that last set the row; 0 for a
		// new row.
		Revision int64 `json:"Revision" yaml:"Revision,omitempty"`
		// KeyHashes are the hex SHA-256 hashes of the account's keys.
		KeyHashes []string `json:"KeyHashes" yaml:"KeyHashes"`
		// Share is the guaranteed fraction of the capacity, from 0 to 1.
		Share float64 `json:"Share" yaml:"Share"`
		// MaxInFlight limits the account's requests in flight across all daemons; 0 means no limit.
		MaxInFlight int `json:"MaxInFlight" yaml:"MaxInFlight,omitempty"`
		// TokensPerSecond limits the account's generated tokens per second across all daemons;
		// 0 means no limit.
		TokensPerSecond float64 `json:"TokensPerSecond" yaml:"TokensPerSecond,omitempty"`
		// SpendPerHour limits the account's cost in price units per hour; 0 means no limit.
		SpendPerHour float64 `json:"SpendPerHour" yaml:"SpendPerHour,omitempty"`
	}

	// Version is the row of an endpoint version.
	Version struct {
		Name     string `json:"Name" yaml:"Name"`
		Revision int64  `json:"Revision" yaml:"Revision,omitempty"`
		Kind     Kind   `json:"Kind" yaml:"Kind"`
		// Weights is the name of the artefact in the weight store; models only.
		Weights string `json:"Weights" yaml:"Weights,omitempty"`
		// Fenced is set if the version's endpoints reject stale fencing numbers.
		Fenced bool `json:"Fenced" yaml:"Fenced,omitempty"`
		// Class is the instance class that the version requires.
		Class string `json:"Class" yaml:"Class,omitempty"`
		// MinReplicas and MaxReplicas bound the number of the version's instances. A MaxReplicas
		// of 0 means no limit.
		MinReplicas int `json:"MinReplicas" yaml:"MinReplicas,omitempty"`
		MaxReplicas int `json:"MaxReplicas" yaml:"MaxReplicas,omitempty"`
		// MaxPrice is the maximum price per instance hour; 0 means no limit.
		MaxPrice float64 `json:"MaxPrice" yaml:"MaxPrice,omitempty"`
	}

	// WeightedVersion is a version with its weight in the split of a route's traffic.
	WeightedVersion struct {
		Version string  `json:"Version" yaml:"Version"`
		Weight  float64 `json:"Weight" yaml:"Weight"`
	}

	// Route is the row of a route. Callers select it by the model field, or by the path of a
	// plain call.
	Route struct {
		Name     string            `json:"Name" yaml:"Name"`
		Revision int64             `json:"Revision" yaml:"Revision,omitempty"`
		Kind     Kind              `json:"Kind" yaml:"Kind"`
		Versions []WeightedVersion `json:"Versions" yaml:"Versions"`
		// Accounts lists the accounts that may use the route; empty means all.
		Accounts []string `json:"Accounts" yaml:"Accounts,omitempty"`
		// Priority orders the queues from 0, which is served first, to 9.
		Priority int `json:"Priority" yaml:"Priority,omitempty"`
		// Repeatable is set if a plain call may be sent more than once.
		Repeatable bool `json:"Repeatable" yaml:"Repeatable,omitempty"`
		// FirstTokenMs is the target for the time to the first token, in milliseconds.
		FirstTokenMs int `json:"FirstTokenMs" yaml:"FirstTokenMs,omitempty"`
		// BetweenTokensMs is the target for the time between tokens, in milliseconds.
		BetweenTokensMs int `json:"BetweenTokensMs" yaml:"BetweenTokensMs,omitempty"`
		// MoveTo is the version that traffic moves to; empty if no version move is requested.
		MoveTo string `json:"MoveTo" yaml:"MoveTo,omitempty"`
		// MoveDeadline is the time by which the move must finish; otherwise it is rolled back.
		MoveDeadline time.Time `json:"MoveDeadline,omitzero" yaml:"MoveDeadline,omitempty"`
		// FirstShare is the new version's share of the traffic in the first step of the move, from 0
		// to MaxFirstShare. 0 selects DefaultFirstShare.
		FirstShare float64 `json:"FirstShare" yaml:"FirstShare,omitempty"`
	}

	// DataCentre is the row of a data centre. A data centre without a row is in use.
	DataCentre struct {
		Name     string `json:"Name" yaml:"Name"`
		Revision int64  `json:"Revision" yaml:"Revision,omitempty"`
		// Evacuated is set if no request may be sent to the endpoints of the data centre.
		Evacuated bool `json:"Evacuated" yaml:"Evacuated,omitempty"`
	}

	// Table is the operators' table in the form of a file.
	Table struct {
		Accounts []Account `json:"Accounts" yaml:"Accounts"`
		Versions []Version `json:"Versions" yaml:"Versions"`
		Routes   []Route   `json:"Routes" yaml:"Routes"`
		// DataCentres are the data centres that were ever evacuated.
		DataCentres []DataCentre `json:"DataCentres,omitempty" yaml:"DataCentres,omitempty"`
		// Base maps each row key, in the form of RowKey.String, to the row as it was when the
		// file was read. It separates this operator's edits and deletions from those of others.
		Base map[string]BaseRow `json:"Base,omitempty" yaml:"Base,omitempty"`
	}

	// BaseRow identifies the content of a row at the time when the file was read.
	BaseRow struct {
		Revision int64 `json:"Revision" yaml:"Revision"`
		// Hash is the hash of the row without its revision.
		Hash string `json:"Hash" yaml:"Hash"`
	}
)

const (
	// Model is the kind of versions and routes that are served by model engines.
	Model Kind = "Model"
	// Plain is the kind of versions and routes that are served by plain services.
	Plain Kind = "Plain"

	// Accounts, Versions, Routes and DataCentres are the sheets of the table.
	Accounts    Sheet = "Accounts"
	Versions    Sheet = "Versions"
	Routes      Sheet = "Routes"
	DataCentres Sheet = "DataCentres"

	// MaxRows is the maximum number of rows of a table.
	MaxRows = 1000
	// MaxFirstShare is the maximum first share of a version move. It limits the traffic that
	// a bad version can affect.
	MaxFirstShare = 0.1
	// DefaultFirstShare is the first share of a move whose row sets none.
	DefaultFirstShare = 0.01
)

// String returns the key in the form "Routes/stock-question".
func (k RowKey) String() string { return string(k.Sheet) + "/" + k.Name }

// parseRowKey parses the form that RowKey.String returns.
func parseRowKey(text string) (RowKey, bool) {
	sheet, name, ok := strings.Cut(text, "/")
	return RowKey{Sheet: Sheet(sheet), Name: name}, ok
}

// Key returns the sheet and name of the row.
func (a Account) Key() RowKey { return RowKey{Sheet: Accounts, Name: a.Name} }

// Base returns the revision that the row was edited from.
func (a Account) Base() int64 { return a.Revision }

// Key returns the sheet and name of the row.
func (v Version) Key() RowKey { return RowKey{Sheet: Versions, Name: v.Name} }

// Base returns the revision that the row was edited from.
func (v Version) Base() int64 { return v.Revision }

// Key returns the sheet and name of the row.
func (r Route) Key() RowKey { return RowKey{Sheet: Routes, Name: r.Name} }

// Base returns the revision that the row was edited from.
func (r Route) Base() int64 { return r.Revision }

// Key returns the sheet and name of the row.
func (d DataCentre) Key() RowKey { return RowKey{Sheet: DataCentres, Name: d.Name} }

// Base returns the revision that the row was edited from.
func (d DataCentre) Base() int64 { return d.Revision }

// MoveID returns the identifier of the version move that the route row requests, or an empty
// string. It includes the row's revision, so that a later edit of the row starts a new move.
func (r Route) MoveID() string {
	if r.MoveTo == "" {
		return ""
	}
	return moveID(r.Name, r.Revision)
}

// SplitAt returns the split of the route's traffic by version when the target version of the
// move has the given share. The weights add up to 1.
func (r Route) SplitAt(share float64) []WeightedVersion {
	var total float64
	for _, w := range r.Versions {
		total += w.Weight
	}
	parts := make([]WeightedVersion, 0, len(r.Versions)+1)
	for _, w := range r.Versions {
		if part := w.Weight / total * (1 - share); part > 0 {
			parts = append(parts, WeightedVersion{Version: w.Version, Weight: part})
		}
	}
	if share > 0 {
		parts = append(parts, WeightedVersion{Version: r.MoveTo, Weight: share})
	}
	return parts
}

// Allows reports whether the account may use the route.
func (r Route) Allows(account string) bool {
	if len(r.Accounts) == 0 {
		return true
	}
	for _, a := range r.Accounts {
		if a == account {
			return true
		}
	}
	return false
}
