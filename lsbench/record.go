package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/roster"
)

type (
	// recordCommand makes a load file from the logs of daemons.
	recordCommand struct {
		spec     engineSpec
		from, to float64
		out      string
	}

	// loggedLine holds the fields of a daemon's log line that record uses.
	loggedLine struct {
		Time         time.Time     `json:"Time"`
		Message      string        `json:"Message"`
		Request      string        `json:"Request"`
		Route        string        `json:"Route"`
		Service      string        `json:"Service"`
		Model        bool          `json:"Model"`
		Session      string        `json:"Session"`
		Prompt       int           `json:"Prompt"`
		Shared       int           `json:"Shared"`
		Answer       int           `json:"Answer"`
		Target       int           `json:"Target"`
		Left         int           `json:"Left"`
		Rank         int           `json:"Rank"`
		Milliseconds int           `json:"AgeMilliseconds"`
		Reason       roster.Reason `json:"Reason"`
		Endpoint     string        `json:"Endpoint"`
		DataCentre   string        `json:"DataCentre"`
	}

	// recorder collects a load from log lines.
	recorder struct {
		from, to float64
		arrivals map[string]*arrival
		service  string
		// changes holds the first reported join and leave of each endpoint, by service.
		changes map[string]map[endpointState]endpointChange
	}

	endpointState struct {
		endpoint string
		ready    bool
	}
)

// Name returns the command's name.
func (*recordCommand) Name() string { return "record" }

// Synopsis returns the command's short description.
func (*recordCommand) Synopsis() string { return "make a load file from the logs of daemons" }

// Usage returns the command's usage.
func (*recordCommand) Usage() string {
	return "record [flags] -out FILE < LOG\n" +
		"Reads lines of 'SECONDS DAEMON {JSON}' as daemons write them with -verbose.\n"
}

// SetFlags defines the command's flags.
func (c *recordCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "load file to write")
	f.Float64Var(&c.from, "from", 0, "start of the recorded part in seconds")
	f.Float64Var(&c.to, "to", 60, "end of the recorded part in seconds")
	f.IntVar(&c.spec.Slots, "slots", 64, "requests that an engine runs at once")
	f.IntVar(&c.spec.Memory, "memory", 370_000, "tokens that an engine's memory holds")
	f.Float64Var(&c.spec.StepMS, "step", 3.4, "time of a step in ms")
	f.Float64Var(&c.spec.ReadPerMS, "read", 44.2, "prompt tokens that an engine reads in a ms")
	f.Float64Var(&c.spec.FirstMS, "first", 0, "fixed part of the time to the first token in ms")
}

// Execute reads the log from standard input and writes the load file.
func (c *recordCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.out == "" || f.NArg() > 0 || c.to <= c.from {
		_, _ = fmt.Fprintln(os.Stderr, "record needs -out, -from below -to, and no other arguments")
		return subcommands.ExitUsageError
	}
	l, err := record(os.Stdin, c.spec, c.from, c.to)
	if err == nil {
		err = writeLoad(c.out, l)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Printf("%s: %d requests and %d endpoint changes\n", c.out, len(l.Arrivals), len(l.Changes))
	return subcommands.ExitSuccess
}

// record builds a load from the log lines between two times in seconds. Lines that are not in the
// log format of a daemon are skipped.
func record(log io.Reader, spec engineSpec, from, to float64) (load, error) {
	r := recorder{from: from, to: to, arrivals: map[string]*arrival{}, changes: map[string]map[endpointState]endpointChange{}}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		fields := strings.SplitN(strings.TrimSpace(lines.Text()), " ", 3)
		if len(fields) < 3 {
			continue
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			continue
		}
		var line loggedLine
		if json.Unmarshal([]byte(fields[2]), &line) == nil {
			r.addLine(at, fields[1], line)
		}
	}
	if err := lines.Err(); err != nil {
		return load{}, eris.Wrap(err, "read log")
	}
	l := load{Engine: spec}
	for _, a := range r.arrivals {
		l.Arrivals = append(l.Arrivals, *a)
	}
	slices.SortFunc(l.Arrivals, func(a, b arrival) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Daemon, b.Daemon)) })
	for _, c := range r.changes[r.service] {
		l.Changes = append(l.Changes, c)
	}
	slices.SortFunc(l.Changes, func(a, b endpointChange) int {
		// Changes before the recorded part all have time 0, so an endpoint that joined and left
		// needs its join sorted first.
		order := cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
		if order == 0 && a.Ready {
			return -1
		}
		return order
	})
	return l, l.check("log")
}

// addLine adds a log line that a daemon wrote at a time in seconds.
func (r *recorder) addLine(at float64, daemon string, line loggedLine) {
	key := daemon + "/" + line.Request
	switch line.Message {
	case "Admitted.":
		if line.Model && at >= r.from && at < r.to {
			r.service = line.Service
			r.arrivals[key] = &arrival{
				At: toMilliseconds(at - r.from), Daemon: daemon, Route: line.Route, Session: line.Session, Prompt: line.Prompt,
				Shared: line.Shared, Answer: line.Answer, Target: line.Target, Left: line.Left, Rank: line.Rank, First: -1,
			}
		}
	case "First event.":
		if a := r.arrivals[key]; a != nil && a.First < 0 {
			a.First = line.Milliseconds
		}
	case "Endpoint changed.":
		if at < r.to {
			r.addChange(at, line)
		}
	}
}

// addChange records the first report that an endpoint joined or left. Changes before the recorded
// part are moved to its start.
func (r *recorder) addChange(at float64, line loggedLine) {
	state := endpointState{endpoint: line.Endpoint, ready: true}
	switch line.Reason {
	case roster.Joined:
	case roster.Left, roster.Announced, roster.Gone:
		state.ready = false
	default:
		return
	}
	serviceChanges := r.changes[line.Service]
	if serviceChanges == nil {
		serviceChanges = map[endpointState]endpointChange{}
		r.changes[line.Service] = serviceChanges
	}
	if _, seen := serviceChanges[state]; !seen {
		serviceChanges[state] = endpointChange{
			At: toMilliseconds(max(at-r.from, 0)), Endpoint: line.Endpoint, DataCentre: line.DataCentre, Ready: state.ready,
		}
	}
}

// toMilliseconds converts seconds to milliseconds, truncated to a tenth.
func toMilliseconds(seconds float64) float64 { return float64(int(seconds*1e4)) / 10 }
