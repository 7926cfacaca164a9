package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/ctl/bench"
)

// defaultBenchPort differs from defaultBasePort, so that experiments and a demo can run
// on one host.
const defaultBenchPort = 23_000

// benchCommand compares policies in experiments on loopback.
type benchCommand struct {
	opts   bench.Options
	daemon string
}

func (*benchCommand) Name() string     { return "bench" }
func (*benchCommand) Synopsis() string { return "compare policies under load and faults on loopback" }
func (*benchCommand) Usage() string {
	return "bench [FLAGS] SCENARIO|all:\n  Scenarios: " + scenarioNames() + ".\n"
}

func scenarioNames() string {
	var names []string
	for _, s := range bench.Scenarios() {
		names = append(names, s.Name)
	}
	return strings.Join(names, ", ")
}

func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.opts.Seed, "seed", 1, "random seed of the load")
	f.IntVar(&c.opts.BasePort, "base-port", defaultBenchPort, "port of the platform; other processes use the ports above")
	f.StringVar(&c.opts.Examples, "examples", "examples", "directory of the example deployments")
	f.StringVar(&c.opts.Out, "out", filepath.Join("out", "bench"), "directory for settings, logs, reports and plots")
	f.DurationVar(&c.opts.Duration, "duration", 0, "overrides the scenario's duration; 0 keeps it")
	f.StringVar(&c.daemon, "daemon", "", "path of sesamemoord (default: in this tool's directory)")
}

func (c *benchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	scenarios, err := selectScenarios(f.Args())
	if err != nil {
		return finish(err)
	}
	if c.opts.Binaries, err = c.binaries(); err != nil {
		return finish(err)
	}
	c.opts.Progress = os.Stderr
	for _, s := range scenarios {
		started := time.Now()
		rep, err := bench.RunScenario(ctx, s, c.opts)
		if err != nil {
			return finish(err)
		}
		if err := rep.WriteText(os.Stdout); err != nil {
			return finish(err)
		}
		fmt.Printf("%d targets missed; took %s; files in %s\n\n", len(rep.Missed()),
			time.Since(started).Round(time.Second), filepath.Join(c.opts.Out, s.Name))
	}
	return subcommands.ExitSuccess
}

func selectScenarios(args []string) ([]bench.Scenario, error) {
	if len(args) != 1 {
		return nil, fmt.Errorf("%w: bench [FLAGS] SCENARIO|all", errUsage)
	}
	if args[0] == "all" {
		return bench.Scenarios(), nil
	}
	s, ok := bench.Find(args[0])
	if !ok {
		return nil, fmt.Errorf("%w: unknown scenario %q; expected one of %s", errUsage, args[0], scenarioNames())
	}
	return []bench.Scenario{s}, nil
}

func (c *benchCommand) binaries() (bench.Binaries, error) {
	tool, err := os.Executable()
	if err != nil {
		return bench.Binaries{}, err
	}
	daemon := c.daemon
	if daemon == "" {
		daemon = filepath.Join(filepath.Dir(tool), "sesamemoord")
	}
	if _, err := os.Stat(daemon); err != nil {
		return bench.Binaries{}, fmt.Errorf("%w: -daemon: %w", errUsage, err)
	}
	return bench.Binaries{Daemon: daemon, Tool: tool}, nil
}
