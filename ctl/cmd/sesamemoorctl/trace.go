package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/ctl/logtrace"
)

// defaultTraceWindow is the default time before and after a request in which decisions
// are included. It is long enough for the loss of a daemon and the takeover of its
// shards.
const defaultTraceWindow = 3 * time.Second

// traceCommand prints the log lines that concern one request.
type traceCommand struct{ window time.Duration }

func (*traceCommand) Name() string     { return "trace" }
func (*traceCommand) Synopsis() string { return "show the log lines of daemons that concern a request" }
func (*traceCommand) Usage() string {
	return "trace [-window D] REQUEST-ID FILE...\n\nFILE is a log of one or more daemons; - reads standard input.\n"
}

func (c *traceCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", defaultTraceWindow, "time before and after the request in which decisions about its shards are included")
}

func (c *traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 || c.window < 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.trace(os.Stdout, f.Arg(0), f.Args()[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "trace:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *traceCommand) trace(w io.Writer, id string, files []string) error {
	logs := new(logtrace.Log)
	for _, name := range files {
		if err := readLog(logs, name); err != nil {
			return err
		}
	}
	found := logs.Trace(id, c.window)
	if len(found.Request) == 0 {
		return fmt.Errorf("no line of request %s in %d lines (%d others skipped)", id, len(logs.Lines), logs.Skipped)
	}
	printTrace(w, found)
	return nil
}

func readLog(logs *logtrace.Log, name string) error {
	if name == "-" {
		return logs.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := logs.Read(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func printTrace(w io.Writer, found logtrace.RequestTrace) {
	if found.Outcome != "" {
		fmt.Fprintf(w, "outcome: %s\n\n", found.Outcome)
	}
	lines := append(slices.Clone(found.Request), found.Related...)
	slices.SortStableFunc(lines, func(a, b logtrace.Line) int { return a.At.Compare(b.At) })
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, l := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", l.At.Format("15:04:05.000"), l.Slot, l.Msg, fieldText(l))
	}
	_ = table.Flush()
}

// fieldText returns the fields of a line as NAME=VALUE, sorted by name.
func fieldText(l logtrace.Line) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if text := l.Text(name); text != "" && name != "logger" {
			parts = append(parts, name+"="+text)
		}
	}
	return strings.Join(parts, " ")
}
