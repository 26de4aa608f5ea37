// Command lsbench runs simulations of the decision code and compares the results with baselines.
//
// # Usage
//
//	lsbench routing -seed 1
//	lsbench help
//
// Exit codes: 0 success, 1 failure, 2 usage error.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

var commands = []subcommands.Command{
	&capacityCommand{},
	&compareCommand{},
	&exchangeCommand{},
	&fleetCommand{},
	&limitsCommand{},
	&movesCommand{},
	&recordCommand{},
	&retriesCommand{},
	&routingCommand{},
	&shortageCommand{},
	&speedsCommand{},
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
