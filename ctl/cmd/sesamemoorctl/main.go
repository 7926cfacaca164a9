// Command sesamemoorctl is the command-line tool for operators and for experiments:
// it changes the configuration, queries daemons, traces requests in log files, and
// runs emulators, load and benchmarks.
//
// Exit codes: 0 success, 1 failure, 2 invalid usage or settings, 3 change rejected
// (for example a patch on an old base version), 4 platform unavailable or outcome
// unknown, 5 wait timed out.
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
		&group{name: "drain", synopsis: "take a data centre or backend server out of service", commands: drainCommands(true)},
		&group{name: "return", synopsis: "return a data centre or backend server to service", commands: drainCommands(false)},
		&group{name: "rollout", synopsis: "roll out a version of a service's backend servers", commands: rolloutCommands()},
		&statusCommand{},
		&explainCommand{},
		&traceCommand{},
		&checkCommand{},
	}
}

func experimentCommands() []subcommands.Command {
	return []subcommands.Command{
		&group{name: "emulate", synopsis: "emulate the platform or a backend server", commands: emulateCommands()},
		&loadCommand{},
		&capacityCommand{},
		&benchCommand{},
		&exampleCommand{},
	}
}
