package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

// evacuateCommand orders the evacuation of a data centre, withdraws it, or prints the evacuations.
type evacuateCommand struct {
	app      *app
	withdraw bool
	id       string
}

// Name returns the command's name.
func (*evacuateCommand) Name() string { return "evacuate" }

// Synopsis returns a one-line description of the command.
func (*evacuateCommand) Synopsis() string {
	return "send no requests to a data centre, or withdraw that; without a name, print the evacuations"
}

// Usage returns the command's usage text.
func (*evacuateCommand) Usage() string {
	return `evacuate [-withdraw] [-id ID] [DATACENTRE]
	Orders the evacuation of a data centre: its endpoints get no new requests. Then prints the evacuations and
	the endpoints that they concern, as the daemon sees them. Exit codes: 0 accepted or in force already, 3 clash
	or invalid, 4 pending, 5 unknown.
`
}

// SetFlags adds the command's flags.
func (c *evacuateCommand) SetFlags(f *flag.FlagSet) {
	c.app.setFlags(f)
	f.BoolVar(&c.withdraw, "withdraw", false, "end the evacuation")
	f.StringVar(&c.id, "id", "", "`identifier` of the change; generated and printed if it is not given")
}

// Execute publishes the order, if any, and prints the evacuations.
func (c *evacuateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 1 || f.NArg() == 0 && c.withdraw {
		return c.app.usageError("evacuate takes one data centre, or none to print the evacuations")
	}
	cl, err := c.app.client()
	if err != nil {
		return c.app.fail(err)
	}
	code := subcommands.ExitSuccess
	if f.NArg() == 1 {
		if code, err = c.order(cl, f.Arg(0)); err != nil {
			return c.app.fail(err)
		}
	}
	if err := c.print(cl, f.Arg(0)); err != nil {
		return c.app.fail(err)
	}
	return code
}

// order publishes the row of the data centre, unless it is so already.
func (c *evacuateCommand) order(cl *client, name string) (subcommands.ExitStatus, error) {
	view, _, err := getFromAny[wire.TableView](cl, "/operator/table")
	if err != nil {
		return subcommands.ExitFailure, err
	}
	row, known := view.State.DataCentres[name]
	if row.Evacuated != c.withdraw && (known || c.withdraw) {
		c.app.printf("%s is in that state already; nothing to publish\n", name)
		return subcommands.ExitSuccess, nil
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	c.app.printf("change %s\n", c.id)
	row.Name, row.Evacuated = name, !c.withdraw
	publish := publishCommand{app: c.app, id: c.id}
	return publish.send(cl, wire.ChangeRequest{ID: c.id, Edits: []table.Edit{{Row: row.Key(), Base: row.Revision, DataCentre: &row}}}), nil
}

// print prints the evacuations as a daemon has them, and a data centre that was named and has no endpoints.
func (c *evacuateCommand) print(cl *client, name string) error {
	view, _, err := getFromAny[wire.TableView](cl, "/operator/table")
	if err != nil {
		return err
	}
	status, _, err := getFromAny[wire.DaemonStatus](cl, "/operator/status")
	if err != nil {
		return err
	}
	endpoints, inFlight, elsewhere := map[string]int{}, map[string]int{}, 0
	for _, e := range status.Endpoints {
		endpoints[e.DataCentre]++
		inFlight[e.DataCentre] += e.InFlight
		if !view.State.Evacuated(e.DataCentre) {
			elsewhere++
		}
	}
	evacuated := view.State.EvacuatedCentres()
	if len(evacuated) == 0 {
		c.app.printf("%s\n", "no data centre is evacuated")
	} else {
		columns := c.app.columnWriter("EVACUATED", "ENDPOINTS", "IN FLIGHT AT "+status.Process, "REVISION")
		for _, centre := range evacuated {
			columns.row(centre, formatNumber(float64(endpoints[centre])), formatNumber(float64(inFlight[centre])), formatRevision(view.State.DataCentres[centre]))
		}
		columns.flush()
	}
	if name != "" && endpoints[name] == 0 {
		c.app.printf("warning: %s lists no endpoint in %s\n", status.Process, name)
	}
	if len(evacuated) > 0 && elsewhere == 0 {
		c.app.printf("%s\n", "warning: no endpoint is left outside evacuated data centres")
	}
	return nil
}
