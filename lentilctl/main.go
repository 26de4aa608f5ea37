// Command lentilctl is the operators' command line. It checks and publishes the table, and
// shows the state and the decisions of the daemons.
//
// # Usage
//
//	lentilctl check table.yaml
//	lentilctl -daemon 10.0.0.4:8080,10.0.1.4:8080 -key-file operator.key publish table.yaml
//	lentilctl -daemon 10.0.0.4:8080 timeline -request 0f6b4a52-...
//
// The flags -daemon, -key-file and -timeout may be given before or after the name of the command.
// The operator key comes from the file or from the environment variable LENTILCTL_KEY.
// Exit codes: 0 done or accepted, 1 failure, 2 usage, 3 clash or invalid change,
// 4 pending, 5 unknown outcome.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// app holds the flags and the outputs that all commands share.
type app struct {
	daemons string
	keyFile string
	timeout time.Duration
	out     io.Writer
	errOut  io.Writer
	now     func() time.Time
	// writeErr is the error of the first failed write to out.
	writeErr error
}

// Exit codes in addition to those of subcommands.
const (
	exitRefused subcommands.ExitStatus = 3
	exitPending subcommands.ExitStatus = 4
	exitUnknown subcommands.ExitStatus = 5
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes one command line and returns the exit code.
func run(arguments []string) int {
	a := &app{timeout: 30 * time.Second, out: os.Stdout, errOut: os.Stderr, now: time.Now}
	flags := flag.NewFlagSet("lentilctl", flag.ContinueOnError)
	a.setFlags(flags)
	commander := subcommands.NewCommander(flags, "lentilctl")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, c := range []subcommands.Command{
		&checkCommand{app: a},
		&tableCommand{app: a},
		&diffCommand{app: a},
		&publishCommand{app: a},
		&statusCommand{app: a},
		&movesCommand{app: a},
		&evacuateCommand{app: a},
		&explainCommand{app: a},
		&timelineCommand{app: a},
		&keygenCommand{app: a},
	} {
		commander.Register(c, "")
	}
	if err := flags.Parse(arguments); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	code := commander.Execute(ctx)
	if a.writeErr != nil {
		return int(a.fail(a.writeErr))
	}
	return int(code)
}

// setFlags adds the shared flags. Their defaults are the current values, so that a value
// given before the command's name is kept when the command's own flags are added.
func (a *app) setFlags(f *flag.FlagSet) {
	f.StringVar(&a.daemons, "daemon", a.daemons, "addresses of daemons, `IP:PORT[,IP:PORT]`; the first that answers is used")
	f.StringVar(&a.keyFile, "key-file", a.keyFile, "`file` with the operator key; otherwise the key is taken from LENTILCTL_KEY")
	f.DurationVar(&a.timeout, "timeout", a.timeout, "time limit of one call to a daemon")
}

// printf prints results. The first failed write is kept in writeErr and makes run return a failure.
func (a *app) printf(format string, arguments ...any) {
	if _, err := fmt.Fprintf(a.out, format, arguments...); err != nil && a.writeErr == nil {
		a.writeErr = err
	}
}

// warnf prints a line on the error output.
func (a *app) warnf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(a.errOut, "lentilctl: "+strings.TrimSuffix(format, "\n")+"\n", arguments...)
}

// fail prints the error and returns the exit code of a failure.
func (a *app) fail(err error) subcommands.ExitStatus {
	a.warnf("%s", err.Error())
	return subcommands.ExitFailure
}

// usageError prints what is wrong with the command line and returns the exit code for it.
func (a *app) usageError(format string, arguments ...any) subcommands.ExitStatus {
	a.warnf(format, arguments...)
	return subcommands.ExitUsageError
}

// operatorKey returns the key from the key file or the environment.
func (a *app) operatorKey() (string, error) {
	if a.keyFile == "" {
		return os.Getenv("LENTILCTL_KEY"), nil
	}
	data, err := os.ReadFile(a.keyFile)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(data)), nil
}
