package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/fold"
)

// TestShutdownWaitsForAStandby checks that a daemon that is stopped while one of its
// shards has no standby hands off the shard with its request ids once a standby is
// placed.
func TestShutdownWaitsForAStandby(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 4)
	d := f.dispatcher("k")
	id, _, _ := d.view.Lookup(hotService, "k")
	for _, other := range f.daemons { // as after a takeover, before the next planning round
		sh := other.state.shard(id)
		*sh = fold.Shard{Owner: sh.Owner, Generation: sh.Generation + 2}
	}
	d.inbox = append(d.inbox, Shutdown{})
	f.until(4*time.Second, "the shard at another daemon", func() bool {
		for _, other := range f.daemons {
			if held, ok := other.view.Held[id]; ok && other != d {
				is.True(!held.NoRequestIDs) // acquired by a release
				return true
			}
		}
		return false
	})
	f.until(2*time.Second, "leave", func() bool { return d.state.departed })
}

// TestShutdownWaitsForATakeoverOnItsWay checks that a shard that was taken over before
// replay shows it is served until replay does, and is released to the standby that it
// then gets.
func TestShutdownWaitsForATakeoverOnItsWay(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 4)
	d := f.dispatcher("k")
	id, _, _ := d.view.Lookup(hotService, "k")
	s := d.state
	s.member.departReason = "shutdown"
	s.member.departingSince = s.now
	sh := *s.shard(id)
	is.True(s.shouldRelease(&sh))
	sh.Owner, sh.Standby = sh.Standby, sh.Owner // as replay shows it before the record
	is.True(!s.shouldRelease(&sh))
}
