package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/ctl/operator"
	"github.com/sesamemoor/sesamemoor/ctl/toolsettings"
)

// statusCommand shows the state of the daemons.
type statusCommand struct {
	action
	ready           bool
	skipUnreachable bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the state of the daemons" }
func (*statusCommand) Usage() string    { return "status [FLAGS]\n" }

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.action.SetFlags(f)
	f.BoolVar(&c.ready, "ready", false, "wait until every daemon has a lease and a backend server and every shard has an owner")
	f.BoolVar(&c.skipUnreachable, "skip-unreachable", false, "with -ready, ignore daemons that do not answer")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.run = c.show
	return c.action.Execute(ctx, f)
}

func (c *statusCommand) show(ctx context.Context, env *environment, _ []string) error {
	daemons, err := env.daemons()
	if err != nil {
		return err
	}
	if !c.ready {
		return printStatus(env, daemons.Status(ctx))
	}
	history, _, err := env.config().Replay(ctx)
	if err != nil {
		return err
	}
	statuses, missing := daemons.WaitReady(ctx, history.Config, c.skipUnreachable)
	if err := printStatus(env, statuses); err != nil {
		return err
	}
	if len(missing) > 0 {
		return fmt.Errorf("%w: not ready after %s: %s", errTimedOut, env.timeout, strings.Join(missing, "; "))
	}
	return nil
}

func printStatus(env *environment, statuses []operator.DaemonStatus) error {
	return env.print(statuses, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "DAEMON\tDATA CENTRE\tLEASE\tSHARDS\tKEEPER SHARDS\tCONFIG\tAGE MS\tBACKEND SERVER\tNOTES")
		for _, st := range statuses {
			fmt.Fprintln(w, statusLine(st))
		}
	})
}

func statusLine(st operator.DaemonStatus) string {
	if st.Error != "" {
		return fmt.Sprintf("%s\tunreachable: %s", st.Admin, st.Error)
	}
	lease := "none"
	switch {
	case st.Leaving:
		lease = "leaving"
	case st.LeaseHeld:
		lease = "held"
	}
	keeper := st.Shards(view.KeeperService)
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s", st.Slot, st.DataCentre, lease,
		len(st.Held)-keeper, keeper, st.ConfigVersion, st.ConfigAgeMS, st.BackendServer, notes(st))
}

// notes returns the conditions of a daemon that need an operator's attention.
func notes(st operator.DaemonStatus) string {
	var list []string
	if st.ConfigStale {
		list = append(list, "configuration stale: callers are refused")
	}
	if st.NewerRecords > 0 {
		list = append(list, fmt.Sprintf("daemon too old for %d log records", st.NewerRecords))
	}
	return strings.Join(list, "; ")
}

// explainCommand shows the daemons' decisions about a request or key.
type explainCommand struct {
	action
	service string
	key     string
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show the daemons' decisions about a request or key" }
func (*explainCommand) Usage() string {
	return "explain [FLAGS] REQUEST-ID\nexplain [FLAGS] -service SERVICE -key KEY\n"
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.action.SetFlags(f)
	f.StringVar(&c.service, "service", "", "service of the key")
	f.StringVar(&c.key, "key", "", "key of the request")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.name = "explain"
	c.usage = "REQUEST-ID | -service SERVICE -key KEY"
	if c.service == "" || c.key == "" {
		c.args = 1
	}
	c.run = c.explain
	return c.action.Execute(ctx, f)
}

func (c *explainCommand) explain(ctx context.Context, env *environment, args []string) error {
	daemons, err := env.daemons()
	if err != nil {
		return err
	}
	id := ""
	if len(args) == 1 {
		id = args[0]
	}
	explanations := daemons.Explain(ctx, id, c.service, c.key)
	err = env.print(explanations, func(w *tabwriter.Writer) { printExplanations(w, explanations) })
	if err != nil {
		return err
	}
	if !anyFound(explanations) {
		return fmt.Errorf("no daemon that answered knows the request or key")
	}
	return nil
}

func anyFound(explanations []operator.Explanation) bool {
	return slices.ContainsFunc(explanations, func(a operator.Explanation) bool { return a.Shard != nil || len(a.Lines) > 0 })
}

func printExplanations(w *tabwriter.Writer, explanations []operator.Explanation) {
	printRoutes(w, explanations)
	lines := []explainedLine{}
	for _, a := range explanations {
		if a.Error != "" {
			fmt.Fprintf(w, "%s: no answer: %s\n", a.Admin, a.Error)
		}
		for _, text := range a.Lines {
			lines = append(lines, explainedLine{slot: a.Slot, text: string(text), time: lineTime(text)})
		}
	}
	slices.SortStableFunc(lines, func(a, b explainedLine) int { return strings.Compare(a.time, b.time) })
	for _, line := range lines {
		fmt.Fprintf(w, "%s: %s\n", line.slot, line.text)
	}
}

// explainedLine is a log line with its time and the slot of its daemon.
type explainedLine struct{ slot, text, time string }

// printRoutes prints each route of the key with the daemons whose view has it.
func printRoutes(w *tabwriter.Writer, explanations []operator.Explanation) {
	seenBy := map[operator.ShardRoute][]string{}
	for _, a := range explanations {
		if a.Shard != nil {
			seenBy[*a.Shard] = append(seenBy[*a.Shard], a.Slot)
		}
	}
	for route, slots := range seenBy {
		fmt.Fprintf(w, "%s/%d: generation %d, owner %s (%s), standby %s, configuration %d, seen by %s\n",
			route.Service, route.Shard, route.Generation, orNone(route.Owner), orNone(route.OwnerServer), orNone(route.Standby),
			route.ConfigVersion, strings.Join(slots, " "))
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// lineTime returns the time of a log line as text, for sorting. Times within the
// same second sort out of order if their fractions differ in length, because the
// daemons omit trailing zeros.
func lineTime(line json.RawMessage) string {
	var head struct {
		Time string `json:"ts"`
	}
	_ = json.Unmarshal(line, &head) // a line without a time sorts first
	return head.Time
}

// checkCommand validates a settings file of the tool.
type checkCommand struct{}

func (*checkCommand) Name() string           { return "check" }
func (*checkCommand) Synopsis() string       { return "validate a settings file of this tool" }
func (*checkCommand) Usage() string          { return "check FILE\n" }
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "sesamemoorctl: usage: check FILE")
		return subcommands.ExitUsageError
	}
	if _, err := toolsettings.Load(f.Arg(0)); err != nil {
		return finish(err)
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}
