package control

import (
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestHandoverKeepsStandby hands off all shards of a member, takes the log
// down 0.2 s after their takeovers and kills a new owner. The shards must already have
// a standby.
func TestHandoverKeepsStandby(t *testing.T) {
	f := startedFleet(t, 6)
	refs := handOverAll(f)
	for range 4 {
		f.tick()
	}
	loseNewOwner(f, refs[0])
}

// TestTakeoverProtectsItsShards takes the log down as soon as it shows the takeovers:
// the shards must have a standby without any further record.
func TestTakeoverProtectsItsShards(t *testing.T) {
	f := startedFleet(t, 6)
	refs := handOverAll(f)
	previous := f.daemons[0].state.member.incarnation
	f.until(2*time.Second, "records of the takeovers", func() bool {
		for _, d := range f.daemons {
			for _, ref := range refs {
				if d.state.fold.Services["storefront"].Shards[ref.Shard].Owner == previous {
					return false
				}
			}
		}
		return true
	})
	loseNewOwner(f, refs[0])
}

// The log fails after a shard was handed off and before it has the record of the takeover.
// The previous owner must serve the shard again once its new owner is lost.
func TestShardIsUnservedAfterLossOfAnUnrecordedNewOwner(t *testing.T) {
	f := startedFleet(t, 6)
	f.refuseAppends = true
	refs := handOverAll(f)
	f.until(time.Second, "takeover by the standbys", func() bool { return f.held("storefront") == 12 })
	f.logDown = true
	id := view.ShardID{Service: "storefront", Shard: refs[0].Shard}
	for _, d := range f.daemons {
		if _, ok := d.view.Held[id]; ok {
			d.dead = true
		}
	}
	f.until(2500*time.Millisecond, "takeover", func() bool { return f.held("storefront") == 12 })
}

// As above, but the log refused the takeover and the new owner lives on for a moment.
func TestShardIsUnservedAfterLossOfANewOwnerThatTheLogRefused(t *testing.T) {
	f := startedFleet(t, 6)
	f.refuseAppends = true
	refs := handOverAll(f)
	f.until(time.Second, "takeover by the standbys", func() bool { return f.held("storefront") == 12 })
	f.logDown = true
	for range 10 {
		f.tick()
		f.checkOwners()
	}
	id := view.ShardID{Service: "storefront", Shard: refs[0].Shard}
	for _, d := range f.daemons {
		if _, ok := d.view.Held[id]; ok {
			d.dead = true
		}
	}
	f.until(takeoverLimit, "takeover", func() bool { return f.held("storefront") == 12 })
	f.refuseAppends, f.logDown = false, false
	f.until(10*time.Second, "new standbys", func() bool { return f.protected(f.daemons[0], "storefront") && f.held("storefront") == 12 })
}

// handOverAll hands off all shards of the first daemon, with planning disabled.
func handOverAll(f *fakeFleet) []*wire.ShardRef {
	d := f.daemons[0]
	var refs []*wire.ShardRef
	for i, sh := range d.state.fold.Services["storefront"].Shards {
		if sh.Owner == d.state.member.incarnation {
			refs = append(refs, &wire.ShardRef{Service: "storefront", Shard: uint32(i), Generation: sh.Generation})
		}
	}
	for _, other := range f.daemons {
		other.state.planner.next = f.now.Add(time.Minute)
	}
	f.append(d.state.placementStream(), &wire.Record{
		Id: []byte("handover-of-all1"), Version: 1, Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: refs}},
	})
	f.until(2*time.Second, "handover", func() bool { return d.heldOf("storefront") == 0 })
	return refs
}

// loseNewOwner takes the log down and kills the owner of a shard; all shards must be
// served again.
func loseNewOwner(f *fakeFleet, ref *wire.ShardRef) {
	f.logDown = true
	f.byIncarnation(f.daemons[0].state.fold.Services["storefront"].Shards[ref.Shard].Owner).dead = true
	f.until(2500*time.Millisecond, "takeover", func() bool { return f.held("storefront") == 12 })
}

// heldOf returns the number of shards of a service that the daemon holds.
func (d *fakeDaemon) heldOf(service string) int {
	n := 0
	for id := range d.view.Held {
		if id.Service == service {
			n++
		}
	}
	return n
}
