package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/ctl/capacity"
)

// maxCapacityDaemons is the maximum number of control states in one process.
const maxCapacityDaemons = 1000

// capacityCommand measures the cost of control by fleet size.
type capacityCommand struct {
	sizes  string
	shards int
	region bool
	output string
}

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "measure the cost of control by fleet size" }
func (*capacityCommand) Usage() string {
	return "capacity [FLAGS]:\n  Run the control states of fleets of several sizes in this process, in virtual time.\n"
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.sizes, "sizes", "3,10,30,100", "fleet sizes in daemons, separated by commas")
	f.IntVar(&c.shards, "shards-per-daemon", 16, "shards of the service per daemon")
	f.BoolVar(&c.region, "region", false, "measure two daemons in a region of 1,715 instead")
	f.StringVar(&c.output, "o", "table", "output: table or json")
}

func (c *capacityCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sizes, err := parseSizes(c.sizes)
	if err != nil || f.NArg() != 0 || c.shards < 1 || (c.output != "table" && c.output != "json") {
		fmt.Fprintln(os.Stderr, "sesamemoorctl: usage: capacity [-sizes N,N...] [-shards-per-daemon N] [-region] [-o table|json]")
		return subcommands.ExitUsageError
	}
	if c.region {
		return finish(c.measureRegion())
	}
	var rows []capacity.FleetCost
	for _, n := range sizes {
		p := capacity.DefaultParams(n)
		p.ShardsPerDaemon = c.shards
		row, err := capacity.Measure(p)
		if err != nil {
			return finish(err)
		}
		rows = append(rows, row)
	}
	return finish(c.print(rows))
}

// measureRegion prints the cost of control for one daemon in a region of the target
// size.
func (c *capacityCommand) measureRegion() error {
	r, err := capacity.MeasureRegion(capacity.DefaultRegion())
	if err != nil {
		return err
	}
	if c.output == "json" {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("members %d, shards %d, teams %d\n", r.Members, r.Shards, r.Teams)
	fmt.Printf("heap of control state and view: %.1f MB\n", r.Heap/1e6)
	fmt.Printf("idle control: planner %.3f %%, others %.3f %% of a core\n", 100*r.PlannerCPU, 100*r.FollowerCPU)
	for _, m := range capacity.Messages() {
		fmt.Printf("%s: %d bytes with headers\n", m.Name, m.Bytes)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "event\trecords\tKB\tof the planner\ttook s\tplanner ms\tother ms\tlongest step ms\tviews\t")
	for _, e := range r.Events {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%d\t%.1f\t%.0f\t%.0f\t%.1f\t%d\t\n", e.Name, e.Records, float64(e.RecordBytes)/1000,
			e.Proposals, e.Elapsed.Seconds(), milliseconds(e.Planner), milliseconds(e.Follower), milliseconds(e.LongestStep), e.Views)
	}
	return w.Flush()
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, field := range strings.Split(text, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 || n > maxCapacityDaemons {
			return nil, fmt.Errorf("size %q is not a number from 1 to %d", field, maxCapacityDaemons)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

func (c *capacityCommand) print(rows []capacity.FleetCost) error {
	if c.output == "json" {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "daemons\tshards\tplaced s\tdatagrams out/s\tin/s\twitness B/s\tcontrol CPU %\theap KB\tappends/loss\tbytes/loss\tms/loss\tappends/start\tbytes/start\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\t%.0f\t\n",
			r.Daemons, r.Shards, r.PlacementTime.Seconds(), r.DatagramsOut, r.DatagramsIn, r.WitnessBytes, 100*r.CPU,
			r.Heap/1024, r.LossAppends, r.LossAppendBytes, r.LossCPU.Seconds()*1000, r.StartAppends, r.StartAppendBytes)
	}
	return w.Flush()
}
