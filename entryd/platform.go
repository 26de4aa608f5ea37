package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"

	"lentilstage.dev/decide/intake"
	"lentilstage.dev/entryd/hangup"
	"lentilstage.dev/entryd/relay"
	"lentilstage.dev/platform/adapt"
)

// platformCommand runs the daemon on the hosting platform.
type platformCommand struct {
	settings string
	check    bool
	// hedgeShare replaces the setting hedge.share; nil if the flag was not given.
	hedgeShare *float64
	verbose    bool
}

// Name returns the command's name.
func (*platformCommand) Name() string { return "platform" }

// Synopsis returns the command's one-line description.
func (*platformCommand) Synopsis() string { return "run the daemon on the hosting platform" }

// Usage returns the command's usage text.
func (*platformCommand) Usage() string {
	return "platform [-settings FILE] [-check] [-hedge-share SHARE] [-verbose]\n"
}

// SetFlags defines the command's flags.
func (p *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.settings, "settings", adapt.SettingsPath(), "the platform's settings `file`")
	f.BoolVar(&p.check, "check", false, "check the settings and exit")
	f.Func("hedge-share", "the `share` of requests that may get a copy, from 0 to 1 (default: hedge.share in the settings file, or 0)",
		func(text string) error {
			share, err := strconv.ParseFloat(text, 64)
			p.hedgeShare = &share
			return err
		})
	f.BoolVar(&p.verbose, "verbose", false, "log details")
}

// Execute runs the daemon until it receives a signal to stop.
func (p *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, err := adapt.Load(p.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entryd:", err)
		return subcommands.ExitUsageError
	}
	if p.hedgeShare != nil {
		file.Settings.Limits.HedgeShare = *p.hedgeShare
		if err := file.Settings.Check(); err != nil {
			fmt.Fprintln(os.Stderr, "entryd: -hedge-share:", err)
			return subcommands.ExitUsageError
		}
	}
	limits, err := intake.Derive(file.Settings.Instance, file.Settings.Intake)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entryd:", err)
		return subcommands.ExitUsageError
	}
	if p.check {
		fmt.Printf("ok\n%s\n", limits)
		return subcommands.ExitSuccess
	}
	debug.SetMemoryLimit(limits.SoftMemoryBytes)
	logger, flush := relay.NewLogger(os.Stdout, p.verbose)
	defer flush()
	daemon, err := relay.New(file.Settings, adapt.NewStore(file.Store), adapt.NewCloud(file.Cloud, file.Settings.Limits.LeaseDuration), adapt.NewCodec(),
		relay.WithLogger(logger))
	if err == nil {
		stop := p.onReload(logger)
		err = daemon.Run(ctx)
		stop()
	}
	if err != nil {
		logger.Error(err, "Stopped by an error.")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// onReload validates the settings file on each SIGHUP and logs the result, until the returned
// function is called. Changed settings, such as addresses and limits, take effect only at the
// next start.
func (p *platformCommand) onReload(logger logr.Logger) (stop func()) {
	stopping, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopping:
				return
			case <-hangup.Signals():
			}
			if _, err := adapt.Load(p.settings); err != nil {
				logger.Info("Changed settings are invalid.", "Error", err.Error())
				continue
			}
			logger.Info("Settings file is valid.", "Path", p.settings)
		}
	}()
	return func() {
		close(stopping)
		<-done
	}
}
