package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/table"
)

// checkCommand checks a table file without a daemon.
type checkCommand struct{ app *app }

// Name returns the command's name.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns a one-line description of the command.
func (*checkCommand) Synopsis() string { return "check a table file" }

// Usage returns the command's usage text.
func (*checkCommand) Usage() string {
	return "check FILE\n\tPrints each problem with its line, row and column.\n"
}

// SetFlags adds no flags.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute checks the file.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.app.usageError("check takes one file")
	}
	parsed, err := c.app.readTable(f.Arg(0))
	if err != nil {
		return c.app.fail(err)
	}
	c.app.printf("%s: no problems; %d accounts, %d versions, %d routes\n",
		f.Arg(0), len(parsed.Accounts), len(parsed.Versions), len(parsed.Routes))
	return subcommands.ExitSuccess
}

// readTable reads and checks a table file. Each problem is printed on its own line.
func (a *app) readTable(path string) (table.Table, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return table.Table{}, err
	}
	parsed, problems := table.Parse(text)
	if len(problems) == 0 {
		return parsed, nil
	}
	for _, p := range problems {
		a.printf("%s: %s\n", path, p)
	}
	return table.Table{}, eris.Errorf("%s has %d problems", path, len(problems))
}
