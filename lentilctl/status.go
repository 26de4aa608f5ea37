package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"

	"lentilstage.dev/wire/wire"
)

// statusCommand prints a daemon's status.
type statusCommand struct{ app *app }

// Name returns the command's name.
func (*statusCommand) Name() string { return "status" }

// Synopsis returns a one-line description of the command.
func (*statusCommand) Synopsis() string {
	return "print the status of a daemon, its peers and endpoints"
}

// Usage returns the command's usage text.
func (*statusCommand) Usage() string { return "status\n\tPrints one daemon's view.\n" }

// SetFlags adds the command's flags.
func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.app.setFlags(f) }

// Execute prints the status.
func (c *statusCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.app.usageError("status takes no arguments")
	}
	cl, err := c.app.client()
	if err != nil {
		return c.app.fail(err)
	}
	status, _, err := getFromAny[wire.DaemonStatus](cl, "/operator/status")
	if err != nil {
		return c.app.fail(err)
	}
	serving := "serving"
	if !status.Serving {
		serving = "not serving: " + status.Reason
	}
	c.app.printf("%s in %s, offset %d, %d requests owned, %d held, %s\n",
		status.Process, status.DataCentre, status.Next, status.Owned, status.Held, serving)
	columns := c.app.columnWriter("DAEMON", "DATA CENTRE", "ADDRESS", "ALIVE", "OFFSET", "HEARD")
	for _, p := range status.Peers {
		columns.row(p.Process, p.DataCentre, p.Address, yesNo(p.Alive), strconv.FormatInt(p.Next, 10), formatTime(p.Heard))
	}
	columns.flush()
	columns = c.app.columnWriter("ENDPOINT", "DATA CENTRE", "VERSIONS", "STATE", "IN FLIGHT", "REASON", "EVACUATED")
	for _, e := range status.Endpoints {
		columns.row(e.Instance, e.DataCentre, joinList(e.Versions), e.State, strconv.Itoa(e.InFlight), e.Reason, yesNo(e.Evacuated))
	}
	columns.flush()
	return subcommands.ExitSuccess
}
