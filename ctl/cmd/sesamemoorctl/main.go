// Command sesamemoorctl is the tool of operators and experimenters.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&configPatchCommand{}, "")
	subcommands.Register(&emulatePlatformCommand{}, "")
	subcommands.Register(&emulateBackendCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
