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

// outCommands are the subcommands of drain (out) and return (not out).
func outCommands(out bool) []subcommands.Command {
	verb := "return"
	if out {
		verb = "drain"
	}
	return []subcommands.Command{
		dataCentreOut(verb+" a data centre", out),
		backendServerOut(verb+" a backend server", out),
	}
}

func dataCentreOut(synopsis string, out bool) subcommands.Command {
	c := &outCommand{out: out}
	c.edit = func(cfg *fleet.Config, name string) (configEdit, error) {
		if _, ok := cfg.DataCentres[name]; !ok {
			return configEdit{}, fmt.Errorf("%w: no data centre %q", operator.ErrRejected, name)
		}
		return configEdit{DataCentres: map[string]outEdit{name: {out}}}, nil
	}
	c.matches = func(st operator.DaemonStatus, name string) bool { return st.DataCentre == name }
	return c.command("data-centre", synopsis)
}

func backendServerOut(synopsis string, out bool) subcommands.Command {
	c := &outCommand{out: out}
	c.edit = func(_ *fleet.Config, name string) (configEdit, error) {
		return configEdit{BackendServers: map[string]outEdit{name: {out}}}, nil
	}
	c.matches = func(st operator.DaemonStatus, name string) bool { return st.BackendServer == name }
	return c.command("backend-server", synopsis)
}

// outCommand takes something out of service or returns it.
type outCommand struct {
	change  changeFlags
	out     bool
	wait    bool
	edit    func(c *fleet.Config, name string) (configEdit, error)
	matches func(st operator.DaemonStatus, name string) bool
}

func (c *outCommand) command(name, synopsis string) subcommands.Command {
	return &action{name: name, usage: "[FLAGS] NAME", args: 1, synopsis: synopsis, flags: c.setFlags, run: c.run}
}

func (c *outCommand) setFlags(f *flag.FlagSet) {
	c.change.set(f)
	if c.out {
		f.BoolVar(&c.wait, "wait", false, "wait until its daemons own no shard")
	}
}

// drained is the result of a drain or return.
type drained struct {
	Version uint64 `json:"version"`
	EmptyMS int64  `json:"empty_ms,omitempty"` // time until its daemons owned no shard, with -wait
}

func (c *outCommand) run(ctx context.Context, env *environment, args []string) error {
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
	result := drained{Version: version}
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

func (c *outCommand) waitEmpty(ctx context.Context, env *environment, name string) error {
	daemons, err := env.daemons()
	if err != nil {
		return err
	}
	_, left := daemons.WaitEmpty(ctx, func(st operator.DaemonStatus) bool { return c.matches(st, name) })
	if len(left) > 0 {
		return fmt.Errorf("%w: after %s: %s", errTimedOut, env.timeout, strings.Join(left, "; "))
	}
	return nil
}
