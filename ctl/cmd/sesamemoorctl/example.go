package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
)

// defaultBasePort is below the ephemeral ports.
const defaultBasePort = 21_000

// exampleCommand generates the settings of an example deployment.
type exampleCommand struct {
	dir      string
	basePort int
}

func (*exampleCommand) Name() string     { return "example" }
func (*exampleCommand) Synopsis() string { return "generate the settings of a deployment on loopback" }
func (*exampleCommand) Usage() string {
	return "example -dir DIR [FLAGS] EXAMPLE:\n  Generate settings in DIR from deployment.json and daemon.json in directory EXAMPLE.\n"
}

func (c *exampleCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "directory to write to")
	f.IntVar(&c.basePort, "base-port", defaultBasePort, "port of the platform; other processes use the ports above")
}

func (c *exampleCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.dir == "" {
		return finish(fmt.Errorf("%w: example -dir DIR [FLAGS] EXAMPLE", errUsage))
	}
	src := deployment.Source{
		Deployment: filepath.Join(f.Arg(0), "deployment.json"),
		Daemon:     filepath.Join(f.Arg(0), "daemon.json"),
	}
	err := deployment.Generate(src, c.dir, c.basePort)
	if errors.Is(err, deployment.ErrInvalid) {
		return finish(fmt.Errorf("%w: %w", errUsage, err))
	}
	return finish(err)
}
