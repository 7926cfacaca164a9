// Command sesamemoord is the daemon that runs next to each backend server.
//
// Usage:
//
//	sesamemoord run FILE      run with the settings in FILE
//	sesamemoord check FILE    check the settings in FILE
//
// Exit codes: 0 success, 1 failure while running, 2 invalid usage or settings.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	_ "github.com/sesamemoor/sesamemoor/daemon/plugins"
	_ "github.com/sesamemoor/sesamemoor/platform" // register
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
