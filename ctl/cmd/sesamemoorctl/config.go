package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/tailscale/hujson"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/ctl/operator"
)

// conflictRetries is the number of retries with -retry.
const conflictRetries = 10

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	comment string
	retry   bool
}

func (c *changeFlags) set(f *flag.FlagSet) {
	f.StringVar(&c.comment, "comment", "", "comment recorded with the change")
	f.BoolVar(&c.retry, "retry", false, "retry if another operator's change came first")
}

func (c *changeFlags) retries() int {
	if c.retry {
		return conflictRetries
	}
	return 0
}

// versionResult is the printed result of a change.
type versionResult struct {
	Version uint64 `json:"version"`
}

// apply makes one change and prints the new version.
func (c *changeFlags) apply(ctx context.Context, env *environment, edit operator.Edit) error {
	version, err := env.config().Apply(ctx, edit, c.comment, c.retries())
	if err != nil {
		return err
	}
	return printVersion(env, version)
}

func printVersion(env *environment, version uint64) error {
	return env.print(versionResult{version}, func(w *tabwriter.Writer) { fmt.Fprintf(w, "version %d\n", version) })
}

func configCommands() []subcommands.Command {
	return []subcommands.Command{
		configShow(), configCreate(), configPatch(), configHistory(), configWait(),
	}
}

func configShow() subcommands.Command {
	return &action{name: "show", synopsis: "print the current configuration as JSON", run: func(ctx context.Context, env *environment, _ []string) error {
		history, _, err := env.config().Replay(ctx)
		if err != nil {
			return err
		}
		var doc bytes.Buffer
		if err := json.Indent(&doc, history.Doc, "", "  "); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		value := struct {
			Version uint64          `json:"version"`
			Config  json.RawMessage `json:"config"`
		}{history.Version, history.Doc}
		return env.print(value, func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "// version %d\n%s\n", history.Version, doc.String())
		})
	}}
}

func configCreate() subcommands.Command {
	var change changeFlags
	return &action{name: "create", usage: "[FLAGS] < CONFIG", synopsis: "create version 1 from a complete configuration on standard input", flags: change.set,
		run: func(ctx context.Context, env *environment, _ []string) error {
			doc, err := readDocument(os.Stdin)
			if err != nil {
				return err
			}
			version, err := env.config().Patch(ctx, 0, doc, change.comment)
			if err != nil {
				return err
			}
			return printVersion(env, version)
		}}
}

// currentBase is the value of -base that selects the current version.
const currentBase = -1

func configPatch() subcommands.Command {
	var change changeFlags
	var base int64
	return &action{name: "patch", usage: "[-base VERSION] [FLAGS] < PATCH", synopsis: "apply a merge patch (RFC 7396) from standard input",
		flags: func(f *flag.FlagSet) {
			change.set(f)
			f.Int64Var(&base, "base", currentBase, "version that the patch is based on; -1 means the current one")
		},
		run: func(ctx context.Context, env *environment, _ []string) error {
			patch, err := readDocument(os.Stdin)
			if err != nil {
				return err
			}
			if base == currentBase {
				return change.apply(ctx, env, func(*fleet.Config) ([]byte, error) { return patch, nil })
			}
			version, err := env.config().Patch(ctx, uint64(base), patch, change.comment)
			if err != nil {
				return err
			}
			return printVersion(env, version)
		}}
}

// readDocument reads JSON with comments and returns plain JSON.
func readDocument(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("standard input: %w", err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", operator.ErrRejected, err)
	}
	return bytes.TrimSpace(standard), nil
}

func configHistory() subcommands.Command {
	return &action{name: "history", synopsis: "list the records of the configuration stream", run: func(ctx context.Context, env *environment, _ []string) error {
		_, changes, err := env.config().Replay(ctx)
		if err != nil {
			return err
		}
		return env.print(changes, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "OFFSET\tBASE\tVERSION\tTIME\tOPERATOR\tRESULT\tCOMMENT")
			for _, ch := range changes {
				result := resultOf(ch)
				at := time.UnixMilli(ch.TimeMS).UTC().Format(time.RFC3339)
				fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\t%s\t%s\n", ch.Offset, ch.Base, ch.Version, at, ch.Operator, result, ch.Comment)
			}
		})
	}}
}

func resultOf(ch operator.Change) string {
	switch {
	case ch.Accepted:
		return "accepted"
	case ch.OutcomeUnknown || ch.Reason == fleet.ReasonSnapshot:
		return ch.Reason
	default:
		return "rejected: " + ch.Reason
	}
}

func configWait() subcommands.Command {
	var skip bool
	return &action{name: "wait", usage: "[FLAGS] VERSION", args: 1, synopsis: "wait until a version is in force at every daemon",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&skip, "skip-unreachable", false, "ignore daemons that do not answer")
		},
		run: func(ctx context.Context, env *environment, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("%w: %q is not a version number", errUsage, args[0])
			}
			daemons, err := env.daemons()
			if err != nil {
				return err
			}
			rows, ok := daemons.Wait(ctx, version, skip)
			if err := printRollout(env, rows); err != nil {
				return err
			}
			if !ok {
				return fmt.Errorf("%w: version %d is not in force everywhere after %s", errTimedOut, version, env.timeout)
			}
			return nil
		}}
}

func printRollout(env *environment, rows []operator.Rollout) error {
	return env.print(rows, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "DATA CENTRE\tDAEMONS\tIN FORCE\tLOWEST VERSION")
		for _, row := range rows {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", row.DataCentre, row.Daemons, row.InForce, row.LowestVersion)
		}
	})
}
