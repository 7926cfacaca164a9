// Command sesamemoorctl is the tool of operators and experimenters.
//
// Exit codes: 0 success, 1 failure, 2 usage or settings, 3 rejected by replay
// (for example a patch on an old base version), 4 platform unavailable or
// outcome unknown, 5 wait timed out.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	commander := subcommands.NewCommander(flag.CommandLine, "sesamemoorctl")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, c := range operatorCommands() {
		commander.Register(c, "operators")
	}
	for _, c := range experimentCommands() {
		commander.Register(c, "experiments")
	}
	flag.Parse()
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}

func operatorCommands() []subcommands.Command {
	return []subcommands.Command{
		&group{name: "config", synopsis: "show and change the configuration", commands: configCommands()},
		&group{name: "team", synopsis: "set, remove and list teams", commands: teamCommands()},
		&group{name: "key", synopsis: "issue, withdraw and list caller keys", commands: keyCommands()},
		&group{name: "drain", synopsis: "take a data centre or backend server out", commands: outCommands(true)},
		&group{name: "return", synopsis: "return a data centre or backend server", commands: outCommands(false)},
		&statusCommand{},
		&explainCommand{},
		&traceCommand{},
		&checkCommand{},
	}
}

func experimentCommands() []subcommands.Command {
	return []subcommands.Command{
		&group{name: "emulate", synopsis: "run stand-ins of the surroundings", commands: emulateCommands()},
		&loadCommand{},
		&capacityCommand{},
		&benchCommand{},
		&exampleCommand{},
	}
}
