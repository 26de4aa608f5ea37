package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// diffCommand prints the edits that publishing a file would make.
	diffCommand struct{ app *app }

	// publishCommand publishes a table file.
	publishCommand struct {
		app   *app
		id    string
		write bool
	}
)

// unavailableClass is the thousands digit of the refusal codes that concern the state of one daemon.
const unavailableClass = 3

// baseComment is the first line of a table file that lentilctl writes.
const baseComment = "# Base at the end records what this file was read with; edit the rows and leave it as it is.\n"

// Name returns the command's name.
func (*diffCommand) Name() string { return "diff" }

// Synopsis returns a one-line description of the command.
func (*diffCommand) Synopsis() string { return "print the edits that publish would make" }

// Usage returns the command's usage text.
func (*diffCommand) Usage() string {
	return "diff FILE\n\tPrints each row that differs, with both values.\n"
}

// SetFlags adds the command's flags.
func (c *diffCommand) SetFlags(f *flag.FlagSet) { c.app.setFlags(f) }

// Execute prints the edits.
func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.app.usageError("diff takes one file")
	}
	wanted, _, state, err := c.app.readFileAndState(f.Arg(0))
	if err != nil {
		return c.app.fail(err)
	}
	edits := state.Diff(wanted)
	if len(edits) == 0 {
		c.app.printf("%s\n", "no differences")
	}
	c.app.printEdits(state, edits)
	return subcommands.ExitSuccess
}

// printEdits prints each edit with the row's current and wanted value.
func (a *app) printEdits(current table.State, edits []table.Edit) {
	rows := make(map[table.RowKey]table.Row)
	t := current.Table()
	for _, r := range t.Accounts {
		rows[r.Key()] = r
	}
	for _, r := range t.Versions {
		rows[r.Key()] = r
	}
	for _, r := range t.Routes {
		rows[r.Key()] = r
	}
	for _, r := range t.DataCentres {
		rows[r.Key()] = r
	}
	for _, e := range edits {
		old, known := rows[e.Row]
		verb := "change"
		switch {
		case e.Delete:
			verb = "delete"
		case !known:
			verb = "add"
		}
		a.printf("%s %s\n", verb, e.Row)
		if known {
			a.printf("  - %s\n", formatRow(old))
		}
		if !e.Delete {
			a.printf("  + %s\n", formatRow(wantedRow(e)))
		}
		if known && old.Base() != e.Base {
			a.printf("  edited from revision %d, now at %d: publish would report a clash\n", e.Base, old.Base())
		}
	}
}

// wantedRow returns the row that the edit sets.
func wantedRow(e table.Edit) any {
	switch {
	case e.Account != nil:
		return e.Account
	case e.Version != nil:
		return e.Version
	case e.DataCentre != nil:
		return e.DataCentre
	default:
		return e.Route
	}
}

// formatRow returns a row as one line of JSON.
func formatRow(row any) string {
	text, err := json.Marshal(row)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Name returns the command's name.
func (*publishCommand) Name() string { return "publish" }

// Synopsis returns a one-line description of the command.
func (*publishCommand) Synopsis() string { return "publish a table file" }

// Usage returns the command's usage text.
func (*publishCommand) Usage() string {
	return `publish [-id ID] [-w] FILE
	Publishes the edits that were made to the file since it was read. Rows that other
	operators changed since then are kept. Exit codes: 0 accepted, 3 clash or invalid, 4 pending,
	5 unknown. After an unknown outcome, publish the same file again with the printed
	identifier: a change takes effect once.
`
}

// SetFlags adds the command's flags.
func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	c.app.setFlags(f)
	f.StringVar(&c.id, "id", "", "`identifier` of the change; generated and printed if it is not given")
	f.BoolVar(&c.write, "w", false, "write the table in force to the file once the change is on the log")
}

// Execute publishes the file.
func (c *publishCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.app.usageError("publish takes one file")
	}
	wanted, cl, state, err := c.app.readFileAndState(f.Arg(0))
	if err != nil {
		return c.app.fail(err)
	}
	edits := state.Diff(wanted)
	if outcome, known := state.OutcomeOf(c.id); known && c.id != "" {
		// The change is on the log already. The daemon finds it by its identifier and collects the
		// confirmations again.
		if edits = resubmittedEdits(state, outcome, wanted); len(edits) == 0 {
			return c.printOutcome(outcome)
		}
	}
	if len(edits) == 0 {
		c.app.printf("%s\n", "no differences; nothing to publish")
		return subcommands.ExitSuccess
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	c.app.printf("change %s with %d edits\n", c.id, len(edits))
	code := c.send(cl, wire.ChangeRequest{ID: c.id, Edits: edits})
	if c.write && (code == subcommands.ExitSuccess || code == exitPending) {
		if err := c.app.rewriteFile(cl, f.Arg(0)); err != nil {
			return c.app.fail(eris.Wrap(err, "the change is on the log, but the file could not be written"))
		}
	}
	return code
}

// readFileAndState reads the table file and the state of the first daemon that answers. It warns
// about rows that the file does not list.
func (a *app) readFileAndState(path string) (table.Table, *client, table.State, error) {
	wanted, err := a.readTable(path)
	if err != nil {
		return table.Table{}, nil, table.State{}, err
	}
	cl, err := a.client()
	if err != nil {
		return table.Table{}, nil, table.State{}, err
	}
	view, _, err := getFromAny[wire.TableView](cl, "/operator/table")
	if err != nil {
		return table.Table{}, nil, table.State{}, err
	}
	a.warnUnlisted(view.State, wanted)
	return wanted, cl, view.State, nil
}

// resubmittedEdits returns the edits of a change that is on the log already. For a file without Base
// these are the rows whose revision is the change's.
func resubmittedEdits(state table.State, outcome table.Outcome, wanted table.Table) []table.Edit {
	if made, ok := wanted.Edits(); ok {
		return made
	}
	set := state.Table().Base
	var edits []table.Edit
	for _, edit := range table.NewState().Diff(wanted) {
		if set[edit.Row.String()].Revision == outcome.Offset+1 {
			edits = append(edits, edit)
		}
	}
	return edits
}

// printOutcome prints the recorded outcome of a change whose edits can no longer be reconstructed.
func (c *publishCommand) printOutcome(outcome table.Outcome) subcommands.ExitStatus {
	if !outcome.Applied {
		c.app.printf("change %s did not apply at offset %d: %s\n", outcome.ID, outcome.Offset, outcome.Reason)
		return exitRefused
	}
	c.app.printf("Pending at offset %d: applied at one daemon; the others were not asked\n", outcome.Offset)
	return exitPending
}

// rewriteFile replaces the file with the table in force.
func (a *app) rewriteFile(cl *client, path string) error {
	view, _, err := getFromAny[wire.TableView](cl, "/operator/table")
	if err != nil {
		return err
	}
	text, err := formatFile(view.State)
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// formatFile returns the table as a file that can be edited and published.
func formatFile(state table.State) ([]byte, error) {
	text, err := state.Table().Format()
	if err != nil {
		return nil, err
	}
	return append([]byte(baseComment), text...), nil
}

// warnUnlisted warns about the rows that a file without Base lacks.
func (a *app) warnUnlisted(state table.State, wanted table.Table) {
	keys := state.Unlisted(wanted)
	if len(keys) == 0 {
		return
	}
	names := make([]string, 0, len(keys))
	for _, k := range keys {
		names = append(names, k.String())
	}
	a.warnf("the file has no Base, so these rows that it lacks are kept: %s", strings.Join(names, ", "))
}

// send publishes the change to the first daemon that answers. A change is applied once however
// often it is sent, so after a lost answer it is sent to the next daemon.
func (c *publishCommand) send(cl *client, request wire.ChangeRequest) subcommands.ExitStatus {
	body, err := json.Marshal(request)
	if err != nil {
		return c.app.fail(err)
	}
	maybeSent := false
	for _, address := range cl.addresses {
		got, err := cl.call(address, http.MethodPost, "/operator/changes", body)
		if err != nil {
			maybeSent = maybeSent || !eris.Is(err, errNotSent)
			c.app.warnf("%s", err.Error())
			continue
		}
		var result wire.ChangeResult
		if json.Unmarshal(got.body, &result) == nil && result.Status != "" {
			return c.printResult(result)
		}
		refusal := got.refusal()
		switch {
		case refusal == nil:
			maybeSent = true
			c.app.warnf("%s", got.unexpectedError().Error())
		case refusal.NotRun && (maybeSent || refusal.Code/1000 == unavailableClass):
			// Another daemon may accept the change. If an earlier daemon may have accepted it,
			// a refusal by this one does not settle the outcome.
			c.app.warnf("%s: %s", address, refusal.Error())
		default:
			return c.printRefusal(refusal)
		}
	}
	if !maybeSent {
		return c.app.fail(eris.New("no daemon accepted the change; nothing was changed"))
	}
	return c.reportUnknown("no daemon has told what became of the change")
}

// reportUnknown reports an unknown outcome and how to find it out.
func (c *publishCommand) reportUnknown(reason string) subcommands.ExitStatus {
	c.app.printf("Unknown: %s; publish the same file again with -id %s\n", reason, c.id)
	return exitUnknown
}

// printRefusal prints a refusal of the change and returns its exit code.
func (c *publishCommand) printRefusal(refusal *codes.Refusal) subcommands.ExitStatus {
	switch {
	case refusal.Code == codes.TableInvalid || refusal.Code == codes.RowClash:
		c.app.printf("%s: %s\n", refusal.Name, refusal.Message)
		return exitRefused
	case refusal.Code == codes.ChangePending:
		c.app.printf("Pending: %s\n", refusal.Message)
		return exitPending
	case refusal.Outcome == codes.Unknown:
		return c.reportUnknown(refusal.Error())
	}
	return c.app.fail(refusal)
}

// printResult prints the outcome of the change and returns its exit code.
func (c *publishCommand) printResult(result wire.ChangeResult) subcommands.ExitStatus {
	for _, warning := range result.Warnings {
		c.app.printf("warning: %s\n", warning)
	}
	switch result.Status {
	case wire.ChangeAccepted:
		c.app.printf("Accepted at offset %d: in force at every serving daemon\n", result.Outcome.Offset)
		return subcommands.ExitSuccess
	case wire.ChangePending:
		c.app.printf("Pending at offset %d: not confirmed by %s\n", result.Outcome.Offset, strings.Join(result.Missing, ", "))
		return exitPending
	case wire.ChangeClash:
		c.app.printf("%s\n", "Clash: another change of these rows came first; nothing was changed")
		for _, clash := range result.Outcome.Clashes {
			c.app.printf("%s: edited from revision %d, now at %d\n  present: %s\n  wanted:  %s\n",
				clash.Row, clash.Base, clash.Revision, formatRowValue(clash.Present), formatRowValue(clash.Wanted))
		}
		c.app.printf("%s\n", "read the table again with lentilctl table -o yaml and repeat the edits")
		return exitRefused
	case wire.ChangeInvalid:
		c.app.printf("%s\n", "Invalid: the table would have problems; nothing was changed")
		for _, p := range result.Outcome.Problems {
			c.app.printf("  %s\n", p)
		}
		return exitRefused
	}
	reason := result.Outcome.Reason
	if reason == "" {
		reason = "the log has not confirmed whether it accepted the change"
	}
	return c.reportUnknown(reason)
}

// formatRowValue returns a row's value as text, or "no row" if the row does not exist.
func formatRowValue(value json.RawMessage) string {
	if len(value) == 0 || string(value) == "null" {
		return "no row"
	}
	return string(value)
}
