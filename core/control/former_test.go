package control

import (
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestHandedOverShardIsProtectedAtOnce hands all shards of a member over, takes the
// log down 0.2 s after their takeovers and kills the new owner.
func TestHandedOverShardIsProtectedAtOnce(t *testing.T) {
	f := startedFleet(t, 6)
	d := f.daemons[0]
	svc := d.state.fold.Services["storefront"]
	var refs []*wire.ShardRef
	for i, sh := range svc.Shards {
		if sh.Owner == d.state.member.incarnation {
			refs = append(refs, &wire.ShardRef{Service: "storefront", Shard: uint32(i), Generation: sh.Generation})
		}
	}
	for _, other := range f.daemons {
		other.state.planner.next = f.now.Add(time.Minute) // no planner helps
	}
	f.append(d.state.placementStream(), &wire.Record{
		Id: []byte("handover-of-all1"), Version: 1, Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: refs}},
	})
	f.until(2*time.Second, "handover", func() bool { return d.heldOf("storefront") == 0 })
	for range 4 {
		f.tick()
	}
	f.logDown = true
	f.byIncarnation(d.state.fold.Services["storefront"].Shards[refs[0].Shard].Owner).dead = true
	f.until(2500*time.Millisecond, "takeover", func() bool { return f.held("storefront") == 12 })
}

// heldOf counts the shards of a service that the daemon holds.
func (d *fakeDaemon) heldOf(service string) int {
	n := 0
	for id := range d.view.Held {
		if id.Service == service {
			n++
		}
	}
	return n
}
