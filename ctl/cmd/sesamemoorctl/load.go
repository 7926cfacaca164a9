package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// errAuditFailed reports a run whose audit is not clean.
var errAuditFailed = errors.New("audit failed: requests have faults, or lists of runs are incomplete")

// loadCommand sends a load and audits the outcome of each request.
type loadCommand struct {
	keys     string
	out      string
	seed     uint64
	duration time.Duration
	quiet    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send an open-loop load and audit each request" }
func (*loadCommand) Usage() string {
	return "load [FLAGS] PLAN:\n  Send the load of the plan file; exit 1 if the audit is not clean.\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.keys, "keys", "", "JSON file with the caller key of each team")
	f.StringVar(&c.out, "out", "", "directory for report.json, report.txt and plots")
	f.Uint64Var(&c.seed, "seed", 0, "overrides the plan's seed; 0 keeps it")
	f.DurationVar(&c.duration, "duration", 0, "overrides the plan's duration; 0 keeps it")
	f.BoolVar(&c.quiet, "quiet", false, "print no progress line")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return finish(fmt.Errorf("%w: load [FLAGS] PLAN", errUsage))
	}
	plan, err := c.plan(f.Arg(0))
	if err != nil {
		return finish(fmt.Errorf("%w: %w", errUsage, err))
	}
	return finish(c.run(ctx, plan))
}

func (c *loadCommand) plan(file string) (load.Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return load.Plan{}, err
	}
	plan, err := load.ParsePlan(data)
	if err != nil {
		return load.Plan{}, err
	}
	if c.seed != 0 {
		plan.Seed = c.seed
	}
	if c.duration != 0 {
		plan.DurationMS = c.duration.Milliseconds()
	}
	if c.keys != "" {
		if err := readKeys(c.keys, &plan); err != nil {
			return load.Plan{}, err
		}
	}
	return plan, plan.Check()
}

// readKeys sets the teams' caller keys in plan from a JSON object by team name.
func readKeys(file string, plan *load.Plan) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	keys := map[string]string{}
	if err := json.Unmarshal(data, &keys); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	for i := range plan.Teams {
		plan.Teams[i].Key = keys[plan.Teams[i].Name]
	}
	return nil
}

func (c *loadCommand) run(ctx context.Context, plan load.Plan) error {
	sender := load.NewSender(plan)
	stop := make(chan struct{})
	if !c.quiet {
		go showProgress(sender, plan, stop)
	}
	results := sender.Run(ctx)
	close(stop)
	runs, incomplete := load.FetchRuns(context.WithoutCancel(ctx), plan.Backends)
	audit := load.NewAudit(plan, results, runs, len(plan.Backends), incomplete)
	report := load.NewReport(plan, results, audit)
	if err := c.write(report); err != nil {
		return err
	}
	if !audit.Clean() {
		return errAuditFailed
	}
	return nil
}

// showProgress updates one line on standard error each second until stop is closed.
func showProgress(sender *load.Sender, plan load.Plan, stop <-chan struct{}) {
	start := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			fmt.Fprintln(os.Stderr)
			return
		case <-ticker.C:
		}
		n := sender.Counts()
		fmt.Fprintf(os.Stderr, "\r%3.0f of %d s: %d sent, %d answered, %d ok, %d in flight  ",
			time.Since(start).Seconds(), plan.DurationMS/1000, n.Sent, n.Answered, n.OK, n.Sent-n.Answered)
	}
}

// write prints the report and, with -out, writes its files.
func (c *loadCommand) write(report load.Report) error {
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	if c.out == "" {
		return nil
	}
	if err := os.MkdirAll(c.out, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.out, "report.json"), data, 0o644); err != nil {
		return err
	}
	text, err := os.Create(filepath.Join(c.out, "report.txt"))
	if err != nil {
		return err
	}
	defer text.Close()
	if err := report.WriteText(text); err != nil {
		return err
	}
	return report.WritePlots(c.out)
}
