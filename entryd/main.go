// Command entryd is the entry daemon of lentilstage. It accepts model requests and plain calls
// from callers, sends them to endpoints and reports their outcomes.
//
// # Usage
//
//	entryd serve -settings entry.yaml
//	entryd check -settings entry.yaml
//	entryd platform [-settings node.conf] [-check]
//
// The platform command runs the daemon on the hosting platform, by default with the settings
// file that the platform sets in the environment.
//
// Exit codes: 0 after a graceful stop, 1 after a fault, 2 for a usage error or invalid
// settings.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/zapr"
	"github.com/google/subcommands"
	"go.uber.org/zap"

	"lentilstage.dev/domain/conf"
	"lentilstage.dev/entryd/entry"
	"lentilstage.dev/entryd/hangup"
)

type (
	// serveCommand runs the daemon.
	serveCommand struct {
		settings string
		portFile string
		verbose  bool
	}

	// checkCommand validates a settings file.
	checkCommand struct {
		settings string
	}
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "entryd")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&serveCommand{}, "")
	commander.Register(&checkCommand{}, "")
	commander.Register(&platformCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(commander.Execute(ctx)))
}

// Name returns the command's name.
func (*serveCommand) Name() string { return "serve" }

// Synopsis returns the command's one-line description.
func (*serveCommand) Synopsis() string { return "run the daemon" }

// Usage returns the command's usage text.
func (*serveCommand) Usage() string { return "serve -settings FILE [-port-file FILE] [-verbose]\n" }

// SetFlags defines the command's flags.
func (s *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settings, "settings", "", "settings `file`")
	f.StringVar(&s.portFile, "port-file", "", "`file` to write the addresses to: callers, then peers, one per line")
	f.BoolVar(&s.verbose, "verbose", false, "log details")
}

// Execute runs the daemon until it receives a signal to stop.
func (s *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	hangup.Restore()
	settings, err := conf.Load[entry.Settings](s.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entryd:", err)
		return subcommands.ExitUsageError
	}
	if err := s.run(ctx, settings); err != nil {
		fmt.Fprintln(os.Stderr, "entryd:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (s *serveCommand) run(ctx context.Context, settings entry.Settings) error {
	config := zap.NewDevelopmentConfig()
	config.DisableStacktrace = true
	config.DisableCaller = true
	if !s.verbose {
		config.Level = zap.NewAtomicLevelAt(zap.InfoLevel)
	}
	log, err := config.Build()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	if limit := settings.SoftMemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	daemon, err := entry.New(settings, entry.WithLogger(zapr.NewLogger(log).WithName(settings.Name)))
	if err != nil {
		return err
	}
	if s.portFile != "" {
		if err := writeAddresses(s.portFile, daemon.Address(), daemon.PeerAddress()); err != nil {
			return err
		}
	}
	return daemon.Run(ctx)
}

// writeAddresses writes the addresses atomically, so that a reader never sees a partial file.
func writeAddresses(path, callers, peers string) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(callers+"\n"+peers+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Name returns the command's name.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns the command's one-line description.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage returns the command's usage text.
func (*checkCommand) Usage() string { return "check -settings FILE\n" }

// SetFlags defines the command's flags.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file`")
}

// Execute validates the settings file and prints its errors.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	settings, err := conf.Load[entry.Settings](c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entryd:", err)
		return subcommands.ExitUsageError
	}
	fmt.Println("ok")
	if limits, err := settings.CallerLimits(); err == nil {
		fmt.Println(entry.DescribeLimits(limits))
	}
	return subcommands.ExitSuccess
}
