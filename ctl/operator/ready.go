package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// ReadinessProblems returns what prevents a fleet from serving every key: daemons
// without a lease or backend server, unless they are leaving, and shards that no
// daemon owns. Daemons that do not answer are a problem unless skipUnreachable is
// set.
func ReadinessProblems(statuses []DaemonStatus, cfg *fleet.Config, skipUnreachable bool) []string {
	var list []string
	held := map[string]map[uint32]bool{}
	for _, st := range statuses {
		switch {
		case st.Error != "" && !skipUnreachable:
			list = append(list, fmt.Sprintf("%s does not answer", st.Admin))
		case st.Error != "" || st.Leaving:
		case !st.LeaseHeld:
			list = append(list, fmt.Sprintf("%s has no lease", st.Slot))
		case st.BackendServer == "":
			list = append(list, fmt.Sprintf("%s has no backend server", st.Slot))
		}
		addHeldShards(held, st)
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		list = append(list, unownedShards(name, int(cfg.Services[name].Shards), held)...)
	}
	return append(list, unownedShards(view.KeeperService, view.KeeperShards, held)...)
}

func addHeldShards(held map[string]map[uint32]bool, st DaemonStatus) {
	if !st.LeaseHeld {
		return
	}
	for _, h := range st.Held {
		if held[h.Service] == nil {
			held[h.Service] = map[uint32]bool{}
		}
		held[h.Service][h.Shard] = true
	}
}

func unownedShards(service string, shards int, held map[string]map[uint32]bool) []string {
	if owned := len(held[service]); owned < shards {
		return []string{fmt.Sprintf("%s: %d of %d shards owned", service, owned, shards)}
	}
	return nil
}

// WaitReady polls until there are no ReadinessProblems or ctx ends. It returns the
// last states and the problems that remain.
func (c *AdminClient) WaitReady(ctx context.Context, cfg *fleet.Config, skipUnreachable bool) ([]DaemonStatus, []string) {
	return c.poll(ctx, func(statuses []DaemonStatus) []string { return ReadinessProblems(statuses, cfg, skipUnreachable) })
}

// WaitEmpty polls until no matching daemon owns a shard or ctx ends. It returns the
// last states and a text for each matching daemon that still owns shards. Daemons
// that do not answer are ignored.
func (c *AdminClient) WaitEmpty(ctx context.Context, matches func(DaemonStatus) bool) ([]DaemonStatus, []string) {
	return c.poll(ctx, func(statuses []DaemonStatus) []string {
		var list []string
		for _, st := range statuses {
			if st.Error == "" && matches(st) && len(st.Held) > 0 {
				list = append(list, fmt.Sprintf("%s owns %d shards", st.Slot, len(st.Held)))
			}
		}
		return list
	})
}

// poll queries the daemons until problems returns none or ctx ends. It returns the
// last states and problems.
func (c *AdminClient) poll(ctx context.Context, problems func([]DaemonStatus) []string) ([]DaemonStatus, []string) {
	for {
		statuses := c.Status(context.WithoutCancel(ctx))
		list := problems(statuses)
		if len(list) == 0 {
			return statuses, nil
		}
		select {
		case <-ctx.Done():
			return statuses, list
		case <-time.After(pollInterval):
		}
	}
}
