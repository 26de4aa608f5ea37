package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"lentilstage.dev/domain/event"
	"lentilstage.dev/wire/wire"
)

type (
	// timelineCommand prints the merged timelines of all daemons.
	timelineCommand struct {
		app     *app
		follow  bool
		kind    string
		request string
	}

	// explainCommand prints the decisions about one request.
	explainCommand struct{ app *app }

	// cursor is the position up to which one daemon's timeline has been read.
	cursor struct {
		incarnation string
		sequence    uint64
	}

	// timelineReader reads the timelines of all daemons.
	timelineReader struct {
		client *client
		// cursors holds the position in each daemon's timeline, by address.
		cursors map[string]cursor
		// warned holds the addresses whose failure has been printed.
		warned map[string]bool
		warnf  func(format string, arguments ...any)
	}

	// pollResult is the result of one read of one daemon's timeline.
	pollResult struct {
		address  string
		cursor   cursor
		timeline wire.Timeline
		err      error
	}
)

// followInterval is the time between two reads of the timelines.
const followInterval = time.Second

// Name returns the command's name.
func (*timelineCommand) Name() string { return "timeline" }

// Synopsis returns a one-line description of the command.
func (*timelineCommand) Synopsis() string { return "print the merged timelines of all daemons" }

// Usage returns the command's usage text.
func (*timelineCommand) Usage() string {
	return "timeline [-follow] [-kind KIND] [-request ID]\n\tPrints the events of all daemons, sorted by time.\n"
}

// SetFlags adds the command's flags.
func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	c.app.setFlags(f)
	f.BoolVar(&c.follow, "follow", false, "keep printing new events until interrupted")
	f.StringVar(&c.kind, "kind", "", "print only events of this `kind`")
	f.StringVar(&c.request, "request", "", "print only events of the request with this `identifier`")
}

// Execute prints the events.
func (c *timelineCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.app.usageError("timeline takes no arguments")
	}
	r, err := c.app.timelineReader()
	if err != nil {
		return c.app.fail(err)
	}
	for {
		events, err := r.poll()
		if err != nil && !c.follow {
			return c.app.fail(err)
		}
		for _, e := range events {
			if (c.kind == "" || e.Kind == c.kind) && (c.request == "" || e.Request == c.request) {
				c.app.printf("%s\n", formatEvent(e))
			}
		}
		if !c.follow {
			return subcommands.ExitSuccess
		}
		select {
		case <-ctx.Done():
			return subcommands.ExitSuccess
		case <-time.After(followInterval):
		}
	}
}

// Name returns the command's name.
func (*explainCommand) Name() string { return "explain" }

// Synopsis returns a one-line description of the command.
func (*explainCommand) Synopsis() string { return "print why a request went where it did" }

// Usage returns the command's usage text.
func (*explainCommand) Usage() string {
	return "explain REQUEST-ID\n\tPrints the decisions about a request from the timelines of all daemons.\n"
}

// SetFlags adds the command's flags.
func (c *explainCommand) SetFlags(f *flag.FlagSet) { c.app.setFlags(f) }

// Execute prints the decisions.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.app.usageError("explain takes one request identifier")
	}
	r, err := c.app.timelineReader()
	if err != nil {
		return c.app.fail(err)
	}
	events, err := r.poll()
	if err != nil {
		return c.app.fail(err)
	}
	events = slices.DeleteFunc(events, func(e event.Event) bool { return e.Request != f.Arg(0) })
	if len(events) == 0 {
		c.app.warnf("no daemon has an event of request %s; each keeps only its newest events", f.Arg(0))
		return subcommands.ExitFailure
	}
	first := events[0]
	c.app.printf("request %s%s%s\n", f.Arg(0), labelled(", account ", first.Account), labelled(", route ", first.Route))
	var endpoints []string
	for _, e := range events {
		c.app.printf("%9s  %s\n", "+"+e.Time.Sub(first.Time).Round(time.Millisecond).String(), formatDetails(e))
		if e.Endpoint != "" && (len(endpoints) == 0 || endpoints[len(endpoints)-1] != e.Endpoint) {
			endpoints = append(endpoints, e.Endpoint)
		}
	}
	if len(endpoints) > 0 {
		c.app.printf("endpoints in order: %s\n", strings.Join(endpoints, ", "))
	}
	return subcommands.ExitSuccess
}

// timelineReader returns a reader that starts at the beginning of the timelines.
func (a *app) timelineReader() (*timelineReader, error) {
	cl, err := a.client()
	if err != nil {
		return nil, err
	}
	return &timelineReader{client: cl, cursors: make(map[string]cursor), warned: make(map[string]bool), warnf: a.warnf}, nil
}

// poll returns the events since the last poll, sorted by time. A daemon that does not answer is
// reported once on the error output; the events of the others are returned.
func (r *timelineReader) poll() ([]event.Event, error) {
	status, answering, err := getFromAny[wire.DaemonStatus](r.client, "/operator/status")
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{answering: status.Process}
	for _, p := range status.Peers {
		if p.Address != "" && p.Process != status.Process {
			addresses[p.Address] = p.Process
		}
	}
	results := make(chan pollResult, len(addresses))
	var group sync.WaitGroup
	for address := range addresses {
		group.Add(1)
		go func() {
			defer group.Done()
			results <- r.pollDaemon(address)
		}()
	}
	group.Wait()
	close(results)
	var events []event.Event
	for result := range results {
		if result.err != nil {
			if !r.warned[result.address] {
				r.warnf("the events of %s are missing: %s", addresses[result.address], result.err.Error())
				r.warned[result.address] = true
			}
			continue
		}
		r.warned[result.address] = false
		r.cursors[result.address] = result.cursor
		events = append(events, result.timeline.Events...)
	}
	slices.SortStableFunc(events, func(a, b event.Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return events, nil
}

// pollDaemon reads one daemon's new events. A restarted daemon has a new incarnation and
// numbers its events from 1 again, so its timeline is then read from the beginning.
func (r *timelineReader) pollDaemon(address string) pollResult {
	result := pollResult{address: address, cursor: r.cursors[address]}
	status, err := getFrom[wire.DaemonStatus](r.client, address, "/operator/status")
	if err != nil {
		result.err = err
		return result
	}
	if status.Incarnation != result.cursor.incarnation {
		result.cursor = cursor{incarnation: status.Incarnation}
	}
	path := "/operator/timeline?after=" + strconv.FormatUint(result.cursor.sequence, 10)
	result.timeline, result.err = getFrom[wire.Timeline](r.client, address, path)
	for _, e := range result.timeline.Events {
		result.cursor.sequence = max(result.cursor.sequence, e.Sequence)
	}
	return result
}

// formatEvent formats an event as one line.
func formatEvent(e event.Event) string {
	text := formatTime(e.Time) + "  " + formatDetails(e)
	return text + labelled(" account=", e.Account) + labelled(" request=", e.Request) + labelled(" route=", e.Route)
}

// formatDetails formats the process, kind, endpoint, version, numbers and reason of an event.
func formatDetails(e event.Event) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s%s%s", e.Process, e.Kind, labelled(" endpoint=", e.Endpoint), labelled(" version=", e.Version))
	for _, n := range e.Numbers {
		fmt.Fprintf(&text, " %s=%s", n.Name, formatNumber(n.Value))
	}
	text.WriteString(labelled(": ", e.Reason))
	return text.String()
}

// labelled returns the value with its label in front, or an empty string for an empty value.
func labelled(label, value string) string {
	if value == "" {
		return ""
	}
	return label + value
}

// joinList joins a list into one table cell.
func joinList(items []string) string { return strings.Join(items, ",") }
