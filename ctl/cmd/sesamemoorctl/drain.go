package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/ctl/operator"
)

// drainCommands returns the subcommands of drain (out is true) or return (out is
// false).
func drainCommands(out bool) []subcommands.Command {
	verb := "return"
	if out {
		verb = "drain"
	}
	return []subcommands.Command{
		dataCentreDrain(verb+" a data centre", out),
		backendServerDrain(verb+" a backend server", out),
	}
}

func dataCentreDrain(synopsis string, out bool) subcommands.Command {
	c := &drainCommand{out: out}
	c.edit = func(cfg *fleet.Config, name string) (configEdit, error) {
		if _, ok := cfg.DataCentres[name]; !ok {
			return configEdit{}, fmt.Errorf("%w: no data centre %q", operator.ErrRejected, name)
		}
		return configEdit{DataCentres: map[string]outEdit{name: {out}}}, nil
	}
	c.matches = func(st operator.DaemonStatus, name string) bool { return st.DataCentre == name }
	return c.command("data-centre", synopsis)
}

func backendServerDrain(synopsis string, out bool) subcommands.Command {
	c := &drainCommand{out: out}
	c.edit = func(_ *fleet.Config, name string) (configEdit, error) {
		return configEdit{BackendServers: map[string]outEdit{name: {out}}}, nil
	}
	c.matches = func(st operator.DaemonStatus, name string) bool { return st.BackendServer == name }
	return c.command("backend-server", synopsis)
}

// drainCommand takes a data centre or backend server out of service or returns it.
type drainCommand struct {
	change  changeFlags
	out     bool
	wait    bool
	edit    func(c *fleet.Config, name string) (configEdit, error)
	matches func(st operator.DaemonStatus, name string) bool
}

func (c *drainCommand) command(name, synopsis string) subcommands.Command {
	return &action{name: name, usage: "[FLAGS] NAME", args: 1, synopsis: synopsis, flags: c.setFlags, run: c.run}
}

func (c *drainCommand) setFlags(f *flag.FlagSet) {
	c.change.set(f)
	if c.out {
		f.BoolVar(&c.wait, "wait", false, "wait until its daemons own no shards")
	}
}

// drainResult is the printed result of a drain or return.
type drainResult struct {
	Version uint64 `json:"version"`
	EmptyMS int64  `json:"empty_ms,omitempty"` // time until its daemons owned no shard, with -wait
}

func (c *drainCommand) run(ctx context.Context, env *environment, args []string) error {
	started := time.Now()
	version, err := env.config().Apply(ctx, func(cfg *fleet.Config) ([]byte, error) {
		patch, err := c.edit(cfg, args[0])
		if err != nil {
			return nil, err
		}
		return json.Marshal(patch)
	}, c.change.comment, c.change.retries())
	if err != nil {
		return err
	}
	result := drainResult{Version: version}
	if c.wait {
		if err := c.waitEmpty(ctx, env, args[0]); err != nil {
			return err
		}
		result.EmptyMS = time.Since(started).Milliseconds()
	}
	return env.print(result, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version %d\n", result.Version)
		if c.wait {
			fmt.Fprintf(w, "no shards after %d ms\n", result.EmptyMS)
		}
	})
}

func (c *drainCommand) waitEmpty(ctx context.Context, env *environment, name string) error {
	daemons, err := env.daemons()
	if err != nil {
		return err
	}
	_, remaining := daemons.WaitEmpty(ctx, func(st operator.DaemonStatus) bool { return c.matches(st, name) })
	if len(remaining) > 0 {
		return fmt.Errorf("%w: shards still owned after %s: %s", errTimedOut, env.timeout, strings.Join(remaining, "; "))
	}
	return nil
}
