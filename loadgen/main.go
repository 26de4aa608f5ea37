// Command loadgen sends seeded traffic to entry daemons and checks each answer.
//
// # Usage
//
//	loadgen -daemons 127.0.0.1:8001,127.0.0.1:8002 -shape tracewell -key secret -rate 20 -seconds 30
//
// It spreads requests over the daemons like a load balancer, reconnects to another daemon
// when a stream breaks, and prints a report. The same seed sends the same requests at the
// same times; identifiers and keys are new in each run. The exit code is 1 if an answer was
// wrong, an accepted request got no complete answer, or the executions of an unrepeatable
// call contradict the outcome that its caller received.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// options are the flag values.
	options struct {
		daemons     []string
		apps        []string
		keys        []string
		kindFilter  []string
		shape       string
		rate        float64
		requests    int
		seconds     float64
		seed        uint64
		idle        time.Duration
		retries     int
		maxInFlight int
		jsonPath    string
		direct      bool
	}
)

const (
	exitFault = 1
	exitUsage = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(arguments []string, stdout, stderr io.Writer) int {
	o, err := parse(arguments, stdout, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	r := generate(ctx, o)
	if len(o.apps) > 0 {
		if err := r.checkApps(o.apps); err != nil {
			_, _ = fmt.Fprintf(stderr, "loadgen: %v\n", err)
			return exitFault
		}
	}
	r.writeText(stdout)
	if o.jsonPath != "" {
		if err := r.writeJSON(o.jsonPath); err != nil {
			_, _ = fmt.Fprintf(stderr, "loadgen: %v\n", err)
			return exitFault
		}
	}
	if r.hasViolations() {
		return exitFault
	}
	return 0
}

// parse parses the flags. It writes the reason to stderr before it returns an error.
func parse(arguments []string, stdout, stderr io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("loadgen", flag.ContinueOnError)
	flags.SetOutput(stderr)
	list := func(target *[]string) func(string) error {
		return func(text string) error {
			*target = append(*target, strings.FieldsFunc(text, func(r rune) bool { return r == ',' })...)
			return nil
		}
	}
	flags.Func("daemons", "send to the daemons at `ADDRESSES`, separated by commas", list(&o.daemons))
	flags.Func("apps", "after the run, check executions at the appd stand-ins at `ADDRESSES`", list(&o.apps))
	flags.Func("key", "account `KEYS`, separated by commas; the first account sends the most", list(&o.keys))
	flags.StringVar(&o.shape, "shape", "tracewell", "traffic `SHAPE`: "+strings.Join(shapeNames(), " or "))
	flags.Func("kinds", "send only the shape's `KINDS`, separated by commas", list(&o.kindFilter))
	flags.Float64Var(&o.rate, "rate", 10, "send `N` requests a second on average")
	flags.IntVar(&o.requests, "requests", 0, "stop after `N` requests; 0 means no limit")
	flags.Float64Var(&o.seconds, "seconds", 0, "stop sending after `N` seconds; 0 means no limit")
	flags.Uint64Var(&o.seed, "seed", 1, "draw the traffic from `SEED`")
	flags.DurationVar(&o.idle, "idle", 15*time.Second, "reconnect when a stream is silent for `PERIOD`")
	flags.IntVar(&o.retries, "retries", 5, "retry a request at most `N` times after refusals and broken connections")
	flags.IntVar(&o.maxInFlight, "max-in-flight", 2000, "delay new requests while `N` are in progress")
	flags.BoolVar(&o.direct, "direct", false, "the addresses are model engines, for a baseline without daemons")
	flags.StringVar(&o.jsonPath, "json", "", "write the report as JSON to `PATH`")
	flags.Usage = func() {
		_, _ = fmt.Fprint(flags.Output(), "loadgen: sends seeded traffic to entry daemons and checks each answer\n\nusage: loadgen -daemons ADDRESSES -key KEYS [flags]\n")
		flags.PrintDefaults()
	}
	if len(arguments) == 1 {
		switch arguments[0] {
		case "help", "-h", "-help", "--help":
			flags.SetOutput(stdout)
			arguments = []string{"-h"}
		}
	}
	if err := flags.Parse(arguments); err != nil {
		return o, err
	}
	err := o.check()
	if flags.NArg() > 0 {
		err = eris.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "loadgen: %v\n", err)
	}
	return o, err
}

func (o options) check() error {
	_, known := shapes[o.shape]
	kinds := o.kinds()
	switch {
	case len(o.daemons) == 0 || len(o.keys) == 0:
		return eris.New("-daemons and -key are needed")
	case !known:
		return eris.Errorf("-shape %q is none of %s", o.shape, strings.Join(shapeNames(), ", "))
	case len(kinds) == 0 || (len(o.kindFilter) > 0 && len(kinds) != len(o.kindFilter)):
		return eris.New("-kinds names a kind that the shape lacks, or one twice")
	case o.rate <= 0 || o.requests < 0 || o.seconds < 0 || o.idle <= 0 || o.retries < 0 || o.maxInFlight < 1:
		return eris.New("a number is out of range")
	case o.requests == 0 && o.seconds == 0:
		return eris.New("-requests or -seconds is needed")
	}
	return nil
}

// kinds returns the kinds of the shape that -kinds selects, or all without it.
func (o options) kinds() []kind {
	return slices.DeleteFunc(slices.Clone(shapes[o.shape]), func(k kind) bool {
		return len(o.kindFilter) > 0 && !slices.Contains(o.kindFilter, k.name)
	})
}
