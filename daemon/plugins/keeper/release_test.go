package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// quiesce ends a node's ownership of the keeper shard and returns the levels that its
// release would carry.
func (f *testFleet) quiesce(name string, token uint64) []*wire.BucketLevel {
	n := f.nodes[name]
	v := *n.View()
	v.Held = nil
	f.set(n, &v)
	n.keeper.HandleEffect(control.Quiesce{Shard: keeperShard, Token: token})
	synctest.Wait()
	for _, ev := range n.posted {
		if q, ok := ev.(control.Quiesced); ok && q.Token == token {
			return q.Levels
		}
	}
	return nil
}

// acquire makes a node the keeper by the given takeover.
func (f *testFleet) acquire(name string, takeover control.TakeOver) {
	takeover.Shard = keeperShard
	f.nodes[name].keeper.HandleEffect(takeover)
	f.hold(name, takeover.Token)
}

// requestFrom requests tokens from a node's keeper and returns the number granted.
func (f *testFleet) requestFrom(name string, tokens uint64) uint64 {
	slice := f.nodes[name].keeper.grant(&wire.SliceRequest{Team: team, WantMilli: tokens * milli})
	return slice.GetGrantedMilli() / milli
}

// TestReleaseCarriesBucketLevel: a new keeper continues at the released level, once. After
// a lapse it starts empty, and a level for another generation is ignored.
func TestReleaseCarriesBucketLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 1, Burst: 10})
		f.hold("a", 2)
		is.Equal(f.requestFrom("a", 4), uint64(4))
		levels := f.quiesce("a", 2)
		is.Equal(len(levels), 1)
		is.Equal(f.requestFrom("a", 4), uint64(0))
		release := control.TakeOver{Token: 3, Levels: levels}
		f.acquire("b", release)
		is.Equal(f.requestFrom("b", 10), uint64(6)) // left over by a
		f.acquire("b", release)                     // duplicate message
		is.Equal(f.requestFrom("b", 10), uint64(0))
		levels = f.quiesce("b", 3)
		f.acquire("c", control.TakeOver{Token: 4}) // after a lapse: starts empty
		is.Equal(f.requestFrom("c", 10), uint64(0))
		f.acquire("a", control.TakeOver{Token: 3, Levels: levels}) // stale: a acquires a later generation
		f.hold("a", 7)
		is.Equal(f.requestFrom("a", 10), uint64(0))
	})
}

// TestLevelIsNotUsedUnderAnotherToken: a node accepts a release, loses the shard before
// a slice is requested, and acquires it again after a lapse. It must not use the level.
func TestLevelIsNotUsedUnderAnotherToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 1, Burst: 10})
		f.hold("a", 2)
		levels := f.quiesce("a", 2)
		f.nodes["b"].keeper.HandleEffect(control.TakeOver{Shard: keeperShard, Token: 3, Levels: levels})
		f.acquire("b", control.TakeOver{Token: 6})
		is.Equal(f.requestFrom("b", 10), uint64(0))
	})
}

// TestAbortedReleaseKeepsBucket: only a release that was aborted before
// it was sent keeps the bucket.
func TestAbortedReleaseKeepsBucket(t *testing.T) {
	for _, tt := range []struct {
		resumed control.Resumed
		want    uint64
	}{
		{control.ResumedUnsent, 8},    // 6 left, and 2 refilled after the slices expired
		{control.ResumedAfterSend, 0}, // the standby may have granted them
		{control.NotResumed, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(fleet.Team{Rate: 1, Burst: 10})
			f.hold("a", 2)
			is.Equal(f.requestFrom("a", 4), uint64(4))
			f.quiesce("a", 2)
			time.Sleep(2100 * time.Millisecond)
			f.acquire("a", control.TakeOver{Token: 4, Resumed: tt.resumed})
			is.Equal(f.requestFrom("a", 10), tt.want)
		})
	}
}
