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

// Missing returns what keeps a fleet from serving every key: daemons without
// lease or backend server, and shards that no daemon owns. With
// skipUnreachable, daemons that do not answer are not missed.
func Missing(statuses []DaemonStatus, cfg *fleet.Config, skipUnreachable bool) []string {
	var list []string
	held := map[string]map[uint32]bool{}
	for _, st := range statuses {
		switch {
		case st.Error != "" && !skipUnreachable:
			list = append(list, fmt.Sprintf("%s does not answer", st.Admin))
		case st.Error != "" || st.Leaving:
		case !st.LeaseHeld:
			list = append(list, fmt.Sprintf("%s holds no lease", st.Slot))
		case st.BackendServer == "":
			list = append(list, fmt.Sprintf("%s knows no backend server", st.Slot))
		}
		collect(held, st)
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		list = append(list, unowned(name, int(cfg.Services[name].Shards), held)...)
	}
	return append(list, unowned(view.KeeperService, view.KeeperShards, held)...)
}

func collect(held map[string]map[uint32]bool, st DaemonStatus) {
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

func unowned(service string, shards int, held map[string]map[uint32]bool) []string {
	if owned := len(held[service]); owned < shards {
		return []string{fmt.Sprintf("%s: %d of %d shards owned", service, owned, shards)}
	}
	return nil
}

// WaitReady polls until nothing is missing or ctx ends, and returns the last
// answers with what is missing.
func (d *Daemons) WaitReady(ctx context.Context, cfg *fleet.Config, skipUnreachable bool) ([]DaemonStatus, []string) {
	return d.poll(ctx, func(statuses []DaemonStatus) []string { return Missing(statuses, cfg, skipUnreachable) })
}

// WaitEmpty polls until no daemon that matches owns a shard or ctx ends, and
// returns what is still owned.
func (d *Daemons) WaitEmpty(ctx context.Context, matches func(DaemonStatus) bool) ([]DaemonStatus, []string) {
	return d.poll(ctx, func(statuses []DaemonStatus) []string {
		var list []string
		for _, st := range statuses {
			if st.Error == "" && matches(st) && len(st.Held) > 0 {
				list = append(list, fmt.Sprintf("%s owns %d shards", st.Slot, len(st.Held)))
			}
		}
		return list
	})
}

// poll asks until missing returns nothing or ctx ends.
func (d *Daemons) poll(ctx context.Context, missing func([]DaemonStatus) []string) ([]DaemonStatus, []string) {
	for {
		statuses := d.Status(context.WithoutCancel(ctx))
		list := missing(statuses)
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
