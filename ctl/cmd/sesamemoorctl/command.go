package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/ctl/operator"
	"github.com/sesamemoor/sesamemoor/ctl/toolsettings"
)

// Exit codes in addition to those of package subcommands.
const (
	exitRejected    = subcommands.ExitStatus(3)
	exitUnavailable = subcommands.ExitStatus(4)
	exitTimedOut    = subcommands.ExitStatus(5)
)

// Errors detected by the tool itself.
var (
	errUsage    = errors.New("usage")
	errTimedOut = errors.New("timed out")
)

// group is a command with subcommands.
type group struct {
	name     string
	synopsis string
	commands []subcommands.Command
}

func (g *group) Name() string           { return g.name }
func (g *group) Synopsis() string       { return g.synopsis }
func (g *group) SetFlags(*flag.FlagSet) {}

func (g *group) Usage() string {
	text := g.name + " COMMAND [FLAGS] [ARGUMENTS]:\n"
	for _, c := range g.commands {
		text += fmt.Sprintf("  %-16s %s\n", c.Name(), c.Synopsis())
	}
	return text
}

func (g *group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "sesamemoorctl "+g.name)
	commander.Register(commander.HelpCommand(), "")
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	return commander.Execute(ctx, args...)
}

// action is a leaf command: a function with its flags.
type action struct {
	name     string
	synopsis string
	usage    string // flags and arguments after the name
	args     int    // required number of arguments
	flags    func(f *flag.FlagSet)
	run      func(ctx context.Context, env *environment, args []string) error

	env environment
}

func (a *action) Name() string     { return a.name }
func (a *action) Synopsis() string { return a.synopsis }
func (a *action) Usage() string    { return a.name + " " + a.usage + ":\n  " + a.synopsis + ".\n" }

func (a *action) SetFlags(f *flag.FlagSet) {
	a.env.setFlags(f)
	if a.flags != nil {
		a.flags(f)
	}
}

func (a *action) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != a.args {
		fmt.Fprintln(os.Stderr, "sesamemoorctl: usage:", a.name, a.usage)
		return subcommands.ExitUsageError
	}
	if err := a.env.load(); err != nil {
		return finish(err)
	}
	ctx, cancel := context.WithTimeout(ctx, a.env.timeout)
	defer cancel()
	return finish(a.run(ctx, &a.env, f.Args()))
}

// environment holds the flags and settings that operators' commands share.
type environment struct {
	file     string
	platform string
	output   string
	timeout  time.Duration
	set      toolsettings.Settings
}

// defaultTimeout is the timeout of a command without the flag -timeout.
const defaultTimeout = 10 * time.Second

func (e *environment) setFlags(f *flag.FlagSet) {
	f.StringVar(&e.file, "settings", os.Getenv(toolsettings.EnvFile), "settings file (default $"+toolsettings.EnvFile+")")
	f.StringVar(&e.platform, "platform", "", "URL of the platform's log, overrides the settings file")
	f.StringVar(&e.output, "o", "table", "output: table or json")
	f.DurationVar(&e.timeout, "timeout", defaultTimeout, "timeout of the command")
}

func (e *environment) load() error {
	if e.output != "table" && e.output != "json" {
		return fmt.Errorf("%w: -o: %q is not table or json", errUsage, e.output)
	}
	set, err := toolsettings.Load(e.file)
	if err != nil {
		return err
	}
	if e.platform != "" {
		set.PlatformURL = e.platform
	}
	e.set = set
	return nil
}

func (e *environment) config() *operator.Config {
	return &operator.Config{Log: logstream.NewHTTP(e.set.PlatformURL), Operator: os.Getenv("USER")}
}

func (e *environment) daemons() (*operator.AdminClient, error) {
	if len(e.set.AdminAddrs) == 0 {
		return nil, fmt.Errorf("%w: the settings have no admin_addrs", errUsage)
	}
	return operator.NewAdminClient(e.set.AdminAddrs), nil
}

// print writes value to standard output as JSON, or as the table that rows writes.
func (e *environment) print(value any, rows func(w *tabwriter.Writer)) error {
	if e.output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

// finish prints err to standard error and returns its exit code.
func finish(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "sesamemoorctl:", err)
	switch {
	case errors.Is(err, errUsage), errors.Is(err, toolsettings.ErrInvalid):
		return subcommands.ExitUsageError
	case errors.Is(err, operator.ErrRejected):
		return exitRejected
	case errors.Is(err, operator.ErrUnknownOutcome), errors.Is(err, logstream.ErrUnavailable):
		return exitUnavailable
	case errors.Is(err, errTimedOut):
		return exitTimedOut
	default:
		return subcommands.ExitFailure
	}
}
