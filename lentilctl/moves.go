package main

import (
	"context"
	"flag"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

// movesCommand prints the state of the version moves.
type movesCommand struct{ app *app }

// Name returns the command's name.
func (*movesCommand) Name() string { return "moves" }

// Synopsis returns a one-line description of the command.
func (*movesCommand) Synopsis() string { return "print the state of each version move" }

// Usage returns the command's usage text.
func (*movesCommand) Usage() string {
	return "moves\n\tPrints each version move: in progress, finished or rolled back, and why.\n"
}

// SetFlags adds the command's flags.
func (c *movesCommand) SetFlags(f *flag.FlagSet) { c.app.setFlags(f) }

// Execute prints the moves.
func (c *movesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.app.usageError("moves takes no arguments")
	}
	cl, err := c.app.client()
	if err != nil {
		return c.app.fail(err)
	}
	view, _, err := getFromAny[wire.TableView](cl, "/operator/table")
	if err != nil {
		return c.app.fail(err)
	}
	columns := c.app.columnWriter("ROUTE", "TO", "STATE", "STEP", "SHARE", "SINCE", "DEADLINE", "REASON")
	count := 0
	for _, route := range view.State.Table().Routes {
		move, ok := view.State.MoveOf(route)
		if !ok {
			continue
		}
		count++
		state, share, reason := describeMove(move, route, c.app.now())
		columns.row(route.Name, route.MoveTo, state, strconv.Itoa(move.Step), share, formatTime(move.StepTime),
			formatTime(route.MoveDeadline), reason)
	}
	if count == 0 {
		c.app.printf("%s\n", "no version moves")
		return subcommands.ExitSuccess
	}
	columns.flush()
	return subcommands.ExitSuccess
}

// describeMove returns the printed state, share and reason of a move. If the deadline
// passes without a terminal record, all daemons send traffic to the old version.
func describeMove(move table.MoveState, route table.Route, now time.Time) (state, share, reason string) {
	state, share, reason = string(move.State), formatNumber(move.Share), move.Reason
	switch {
	case move.State == table.Finished:
		share = "1"
	case move.State == table.TakenBack:
		share = "0"
	case !now.Before(route.MoveDeadline):
		state, share = "DeadlinePassed", "0"
		reason = "the deadline passed without a terminal record; all traffic goes to the old version"
	case move.Step == 0:
		reason = "no step is recorded yet"
	}
	return state, share, reason
}
