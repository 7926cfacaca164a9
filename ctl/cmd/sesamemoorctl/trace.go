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

// traceWindow is the default time around a request in which decisions count: a
// loss and its takeover fit in.
const traceWindow = 3 * time.Second

// traceCommand tells a request's story from log files.
type traceCommand struct{ window time.Duration }

func (*traceCommand) Name() string     { return "trace" }
func (*traceCommand) Synopsis() string { return "tell a request's story from daemons' log files" }
func (*traceCommand) Usage() string {
	return "trace [-window D] REQUEST-ID FILE...\n\nFILE is a log of one or more daemons; - reads the standard input.\n"
}

func (c *traceCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", traceWindow, "time before and after the request in which decisions about its shard count")
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
	story := logs.Trace(id, c.window)
	if len(story.Own) == 0 {
		return fmt.Errorf("no line of request %s in %d lines (%d others passed over)", id, len(logs.Lines), logs.Skipped)
	}
	printStory(w, story)
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

func printStory(w io.Writer, story logtrace.Story) {
	if story.Cause != "" {
		fmt.Fprintf(w, "outcome: %s\n\n", story.Cause)
	}
	lines := append(slices.Clone(story.Own), story.Related...)
	slices.SortStableFunc(lines, func(a, b logtrace.Line) int { return a.At.Compare(b.At) })
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, l := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", l.At.Format("15:04:05.000"), l.Slot, l.Msg, fieldText(l))
	}
	_ = table.Flush()
}

// fieldText returns a line's fields in the order of their names.
func fieldText(l logtrace.Line) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if text := l.Text(name); text != "" && name != "logger" {
			parts = append(parts, name+"="+text)
		}
	}
	return strings.Join(parts, " ")
}
