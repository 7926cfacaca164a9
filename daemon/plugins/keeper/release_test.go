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

// quiesce ends a node's tenure of the keeper shard and returns the levels that
// its release would carry.
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

// acquire makes a node the keeper in the given way.
func (f *testFleet) acquire(name string, t control.TakeOver) {
	t.Shard = keeperShard
	f.nodes[name].keeper.HandleEffect(t)
	f.hold(name, t.Token)
}

func (f *testFleet) ask(name string, tokens uint64) uint64 {
	answer := f.nodes[name].keeper.grant(&wire.SliceRequest{Team: team, WantMilli: tokens * milli})
	return answer.GetGrantedMilli() / milli
}

func TestLevelGoesWithARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 1, Burst: 10})
		f.hold("a", 2)
		is.Equal(f.ask("a", 4), uint64(4))
		levels := f.quiesce("a", 2)
		is.Equal(len(levels), 1)
		is.Equal(f.ask("a", 4), uint64(0))
		release := control.TakeOver{Token: 3, Levels: levels}
		f.acquire("b", release)
		is.Equal(f.ask("b", 10), uint64(6)) // what a had left
		f.acquire("b", release)             // the same message again
		is.Equal(f.ask("b", 10), uint64(0))
		levels = f.quiesce("b", 3)
		f.acquire("c", control.TakeOver{Token: 4}) // by a lapse: all is spent
		is.Equal(f.ask("c", 10), uint64(0))
		f.acquire("a", control.TakeOver{Token: 3, Levels: levels}) // too late: a holds another token
		f.hold("a", 7)
		is.Equal(f.ask("a", 10), uint64(0))
	})
}

// TestLevelIsNotUsedUnderAnotherToken has a release accepted and the shard lost
// before its team was asked for; the next tenure is by a lapse.
func TestLevelIsNotUsedUnderAnotherToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 1, Burst: 10})
		f.hold("a", 2)
		levels := f.quiesce("a", 2)
		f.nodes["b"].keeper.HandleEffect(control.TakeOver{Shard: keeperShard, Token: 3, Levels: levels})
		f.acquire("b", control.TakeOver{Token: 6})
		is.Equal(f.ask("b", 10), uint64(0))
	})
}

func TestBucketGoesOnAfterAReleaseThatWasTakenBack(t *testing.T) {
	for _, tt := range []struct {
		resumed control.Resumed
		want    uint64
	}{
		{control.ResumedWhole, 8}, // six, and two at the rate once the slices have ended
		{control.ResumedLater, 0}, // the standby may have handed them out
		{control.NotResumed, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(fleet.Team{Rate: 1, Burst: 10})
			f.hold("a", 2)
			is.Equal(f.ask("a", 4), uint64(4))
			f.quiesce("a", 2)
			time.Sleep(2100 * time.Millisecond)
			f.acquire("a", control.TakeOver{Token: 4, Resumed: tt.resumed})
			is.Equal(f.ask("a", 10), tt.want)
		})
	}
}
