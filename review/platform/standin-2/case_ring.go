package main

import (
	"context"
	"math/rand/v2"
	"time"
)

func init() { cases["store-history"] = storeHistory }

const (
	// keepS is the history of the platform's store, see SYSTEM.md.
	keepS = 20 * time.Second
	// kills is the number of times that one daemon is killed before the final fault, at intervals
	// drawn from minInterval to maxInterval.
	kills       = 13
	minInterval = 1800 * time.Millisecond
	maxInterval = 2600 * time.Millisecond
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 300 * time.Millisecond
	// downS is the same for the final fault.
	downS = 1200 * time.Millisecond
	// recoveryS is recovery_s of the site.
	recoveryS = 15 * time.Second
)

// storeHistory kills one daemon again and again, and then all daemons at once. It checks RECOVER.
func storeHistory(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, keepS, 7, 4, config(7, []map[string]any{
		route("/lookup/", "storefront", "safe", 2), route("/order/", "storefront", "unsafe", 2.5), route("/sync/", "inventory", "safe", 4),
	}))
	if err != nil {
		return failed, err
	}
	running = append(running, f)
	if err := f.start(); err != nil {
		return failed, err
	}
	if err := f.awaitService(25 * time.Second); err != nil {
		return failed, err
	}
	victim := f.nodes[len(f.nodes)-1]
	for i := range kills {
		if trouble {
			rec.line("the daemon of %s is killed, and started again (%d)", victim.name, i+1)
			if err := f.killAll([]*node{victim}, restartDelay); err != nil {
				return failed, err
			}
		}
		time.Sleep(minInterval + rand.N(maxInterval-minInterval) - restartDelay)
	}
	before := f.during(3 * time.Second)
	first, end := f.store.size(placementTopic)
	rec.line("before the final fault %d of %d requests were served; the store's history of the placement begins at %d and ends at %d; records that are not the newest of their keys: %v",
		served(before), len(before), first, end, f.store.superseded(placementTopic))
	if trouble {
		rec.line("final fault: all daemons are killed, and started again")
		if err := f.killAll(f.nodes, downS); err != nil {
			return failed, err
		}
		time.Sleep(recoveryS)
	}
	after := f.during(6 * time.Second)
	ready := 0
	for _, n := range f.nodes {
		if n.isReady() {
			ready++
		}
	}
	rec.line("later %d of %d requests are served; %d of %d daemons are ready", served(after), len(after), ready, len(f.nodes))
	if 4*served(before) >= len(before) && 4*served(after) < len(after) {
		rec.line("RECOVER is broken")
		return broken, nil
	}
	return held, nil
}

const placementTopic = "keyed.placement-" + region

// killAll kills daemons at once, and starts them again after a time.
func (f *fleet) killAll(nodes []*node, down time.Duration) error {
	for _, n := range nodes {
		_ = n.cmd.Process.Kill()
	}
	for _, n := range nodes {
		<-n.done
	}
	time.Sleep(down)
	for _, n := range nodes {
		if err := f.startDaemon(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) during(d time.Duration) []answer {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return f.load(ctx, 20, 2*time.Second)
}
