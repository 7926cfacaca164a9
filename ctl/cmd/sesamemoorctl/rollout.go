package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
)

// defaultRolloutTime is the time within which a roll-out ends unless -within sets it.
const defaultRolloutTime = 10 * time.Minute

func rolloutCommands() []subcommands.Command {
	return []subcommands.Command{rolloutStart(), rolloutShow(), rolloutEnd()}
}

func rolloutStart() subcommands.Command {
	within := defaultRolloutTime
	return &action{name: "start", usage: "[-within TIME] SERVICE VERSION", args: 2, synopsis: "move a service's traffic to a version of its backend servers",
		flags: func(f *flag.FlagSet) {
			f.DurationVar(&within, "within", defaultRolloutTime, "time within which the roll-out is completed or rolled back")
		},
		run: func(ctx context.Context, env *environment, args []string) error {
			return env.config().OrderRollout(ctx, args[0], args[1], within)
		}}
}

func rolloutEnd() subcommands.Command {
	return &action{name: "end", usage: "SERVICE", args: 1, synopsis: "withdraw an order; a roll-out that runs is rolled back",
		run: func(ctx context.Context, env *environment, args []string) error {
			return env.config().EndRollout(ctx, args[0])
		}}
}

func rolloutShow() subcommands.Command {
	return &action{name: "show", synopsis: "list the newest roll-out of each service", run: func(ctx context.Context, env *environment, _ []string) error {
		list, err := env.config().Rollouts(ctx)
		if err != nil {
			return err
		}
		return env.print(list, func(w *tabwriter.Writer) {
			for _, r := range list {
				fmt.Fprintf(w, "%s\tto %s\t%s\t%s\n", r.Service, r.To, r.State, r.Problem)
			}
		})
	}}
}
