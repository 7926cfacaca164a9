package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// reportCold reports to the key's owner that its split shard has no load.
func (f *fakeFleet) reportCold(d *fakeDaemon) {
	d.inbox = append(d.inbox, OwnLoad{
		Report: &wire.LoadReport{Incarnation: d.view.Incarnation, Service: hotService},
		Answer: &wire.LoadAnswer{MeanRateMilli: 200_000},
	})
}

// TestMergeTransfersRequestIDs checks that the owner of a merged shard is told to copy
// its request ids. The Merge effect precedes the view without the shard.
func TestMergeTransfersRequestIDs(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 4)
	owner := f.dispatcher("hot")
	f.reportHot("hot")
	f.until(2*time.Second, "split", func() bool { return f.splitKnown(owner, "hot") && f.dispatcher("hot") == owner })
	child, _, _ := owner.view.Lookup(hotService, "hot")
	f.until(2*coldTime, "merge", func() bool {
		f.reportCold(owner)
		return !f.splitKnown(owner, "hot")
	})
	parent, _, _ := owner.view.Lookup(hotService, "hot")
	is.True(parent != child)
	is.Equal(owner.merges, []Merge{{Shard: parent, From: child, Complete: true}})
	is.Equal(f.dispatcher("hot"), owner)
}

// TestAbortedRelease checks that the owner resumes a shard whose release was aborted,
// and that the effect reports whether the standby may have received the release.
func TestAbortedRelease(t *testing.T) {
	for name, tt := range map[string]struct {
		sent bool
		want Resumed
	}{
		"before it was sent": {false, ResumedUnsent},
		"after it was sent":  {true, ResumedAfterSend},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startedFleet(t, 4)
			d := f.dispatcher("k")
			id, _, _ := d.view.Lookup(hotService, "k")
			s := d.state
			sh, r := s.shard(id), s.rights[id]
			s.startRelease(id, sh, r)
			if tt.sent {
				s.quiesced(Quiesced{Shard: id, Token: r.token})
			}
			sh.Generation += 2 // the standby has changed
			s.effects = nil
			s.reconcileShard(id, sh, r)
			is.Equal(resumedIn(s.effects, id), []Resumed{tt.want})
			s.effects = nil
			s.acquire(id, r, sh.Generation+1, TakeOver{Resumed: r.resumed}, true, "again")
			is.Equal(resumedIn(s.effects, id), []Resumed{NotResumed}) // reported only once
		})
	}
}

func resumedIn(effects []Effect, id view.ShardID) []Resumed {
	var how []Resumed
	for _, e := range effects {
		if t, ok := e.(TakeOver); ok && t.Shard == id {
			how = append(how, t.Resumed)
		}
	}
	return how
}

// TestMergeAfterSentRelease checks that a merge is not reported as complete if
// another daemon may have run requests under the split shard, because their ids are
// unknown here.
func TestMergeAfterSentRelease(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 4)
	d := f.dispatcher("k")
	parent, _, _ := d.view.Lookup(hotService, "k")
	child := view.ShardID{Service: hotService, Shard: 12}
	record := &wire.MergeKey{
		Service: hotService, KeyHash: fold.KeyHash("k"),
		Parent: &wire.ShardRef{Service: hotService, Shard: parent.Shard},
		Split:  &wire.ShardRef{Service: hotService, Shard: child.Shard},
	}
	for _, tt := range []struct {
		right *right
		whole bool
	}{
		{nil, false},
		{&right{}, false},
		{&right{owned: true}, true},
		{&right{releasing: true}, true},
		{&right{releasing: true, sent: true}, false},
	} {
		delete(d.state.rights, child)
		if tt.right != nil {
			d.state.rights[child] = tt.right
		}
		d.state.effects = nil
		d.state.mergeSeen(record)
		is.Equal(d.state.effects, []Effect{Merge{Shard: parent, From: child, Complete: tt.whole}})
	}
}

// TestReleaseCarriesBucketLevels checks that the level of a bucket reaches the keeper
// that takes over a shard, and that a repeated release message is applied once.
func TestReleaseCarriesBucketLevels(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 4)
	owner := f.daemons[0]
	var id view.ShardID
	for held := range owner.view.Held {
		if held.Service == view.KeeperService {
			id = held
		}
	}
	s := owner.state
	sh, r := s.shard(id), s.rights[id]
	standby := f.byIncarnation(sh.Standby)
	levels := []*wire.BucketLevel{{Team: "dealer", TokensMilli: 1500}}
	s.startRelease(id, sh, r)
	s.effects = nil
	s.afterView = nil
	s.quiesced(Quiesced{Shard: id, Token: r.token, Levels: levels})
	var msg *wire.Release
	for _, e := range s.afterView {
		if send, ok := e.(SendRelease); ok {
			msg = send.Msg
		}
	}
	is.True(msg != nil)
	var taken []TakeOver
	for range 2 {
		for _, e := range standby.state.Step(f.now, ReleaseReceived{Msg: msg}) {
			if t, ok := e.(TakeOver); ok && t.Shard == id {
				taken = append(taken, t)
			}
		}
	}
	is.Equal(len(taken), 1)
	is.Equal(taken[0].Token, sh.Generation+1)
	is.Equal(taken[0].Levels, levels)
}
