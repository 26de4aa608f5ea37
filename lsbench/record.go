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
		shape    engineShape
		from, to float64
		out      string
	}

	// loggedLine is what record reads of a daemon's log line.
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
		// changes are the first sights of each endpoint's coming and going, by service.
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
	f.Float64Var(&c.to, "to", 60, "its end in seconds")
	f.IntVar(&c.shape.Slots, "slots", 64, "requests that an engine runs at once")
	f.IntVar(&c.shape.Memory, "memory", 370_000, "tokens that an engine's memory holds")
	f.Float64Var(&c.shape.StepMS, "step", 3.4, "time of a step in ms")
	f.Float64Var(&c.shape.ReadPerMS, "read", 44.2, "prompt tokens that an engine reads in a ms")
}

// Execute reads the log from standard input.
func (c *recordCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.out == "" || f.NArg() > 0 || c.to <= c.from {
		_, _ = fmt.Fprintln(os.Stderr, "record needs -out, -from below -to, and no other arguments")
		return subcommands.ExitUsageError
	}
	l, err := record(os.Stdin, c.shape, c.from, c.to)
	if err == nil {
		err = writeLoad(c.out, l)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Printf("%s: %d requests and %d changes of endpoints\n", c.out, len(l.Arrivals), len(l.Changes))
	return subcommands.ExitSuccess
}

// record makes a load of the part between two times in seconds. Lines that are no log lines of a
// daemon are skipped.
func record(log io.Reader, shape engineShape, from, to float64) (load, error) {
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
			r.take(at, fields[1], line)
		}
	}
	if err := lines.Err(); err != nil {
		return load{}, eris.Wrap(err, "read log")
	}
	l := load{Engine: shape}
	for _, a := range r.arrivals {
		l.Arrivals = append(l.Arrivals, *a)
	}
	slices.SortFunc(l.Arrivals, func(a, b arrival) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Daemon, b.Daemon)) })
	for _, c := range r.changes[r.service] {
		l.Changes = append(l.Changes, c)
	}
	slices.SortFunc(l.Changes, func(a, b endpointChange) int {
		// What came and went before the recorded part has one time; coming goes first.
		order := cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
		if order == 0 && a.Ready {
			return -1
		}
		return order
	})
	return l, l.check("log")
}

// take takes in a line that a daemon wrote at a time in seconds.
func (r *recorder) take(at float64, daemon string, line loggedLine) {
	key := daemon + "/" + line.Request
	switch line.Message {
	case "Admitted.":
		if line.Model && at >= r.from && at < r.to {
			r.service = line.Service
			r.arrivals[key] = &arrival{
				At: milliseconds(at - r.from), Daemon: daemon, Route: line.Route, Session: line.Session, Prompt: line.Prompt,
				Shared: line.Shared, Answer: line.Answer, Target: line.Target, Left: line.Left, Rank: line.Rank, First: -1,
			}
		}
	case "First event.":
		if a := r.arrivals[key]; a != nil && a.First < 0 {
			a.First = line.Milliseconds
		}
	case "Endpoint changed.":
		if at < r.to {
			r.change(at, line)
		}
	}
}

// change notes the first sight of an endpoint's coming or going. What happened before the
// recorded part counts from its start.
func (r *recorder) change(at float64, line loggedLine) {
	state := endpointState{endpoint: line.Endpoint, ready: true}
	switch line.Reason {
	case roster.Joined:
	case roster.Left, roster.Gone:
		state.ready = false
	default:
		return
	}
	known := r.changes[line.Service]
	if known == nil {
		known = map[endpointState]endpointChange{}
		r.changes[line.Service] = known
	}
	if _, seen := known[state]; !seen {
		known[state] = endpointChange{
			At: milliseconds(max(at-r.from, 0)), Endpoint: line.Endpoint, DataCentre: line.DataCentre, Ready: state.ready,
		}
	}
}

// milliseconds returns a time in seconds in milliseconds, rounded to a tenth.
func milliseconds(seconds float64) float64 { return float64(int(seconds*1e4)) / 10 }
