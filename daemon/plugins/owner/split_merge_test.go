package owner

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// keyOf returns a key that belongs to the shard.
func keyOf(v *view.View, id view.ShardID) string {
	for key := "k"; ; key += "k" {
		if shardOf(v, id.Service, fold.KeyHash(key)) == id {
			return key
		}
	}
}

// A request id that ran before a split, or under the split shard, must not run
// again after the shard is merged back.
func TestIDThatRanUnderASplitShardDoesNotRunAfterTheMerge(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	key := keyOf(b.control.View(), shard)
	child := view.ShardID{Service: service, Shard: 8}
	order := func(id string, sh view.ShardID) *wire.Request {
		r := request(id, "")
		r.Key, r.Shard = key, sh.Shard
		return r
	}
	is.Equal(kindOf(b.Execute(context.Background(), order("order-1", shard))), outcome.OK)

	b.HandleEffect(control.TakeOver{Shard: child, Token: 2, From: shard})
	b.publishSplit(map[uint64]uint32{fold.KeyHash(key): child.Shard}, shard, child)
	is.Equal(kindOf(b.Execute(context.Background(), order("order-1", child))), outcome.DuplicateRan)
	is.Equal(kindOf(b.Execute(context.Background(), order("order-2", child))), outcome.OK)

	b.HandleEffect(control.Merge{Shard: shard, From: child, Complete: true})
	is.Equal(kindOf(b.Execute(context.Background(), order("order-1", shard))), outcome.NotOwner) // refused until a view contains the merge
	b.publishSplit(nil, shard)
	is.Equal(kindOf(b.Execute(context.Background(), order("order-1", shard))), outcome.DuplicateRan)
	is.Equal(kindOf(b.Execute(context.Background(), order("order-2", shard))), outcome.DuplicateRan)
	is.Equal(kindOf(b.Execute(context.Background(), order("order-3", shard))), outcome.OK)
	is.Equal(server.requests.Load(), int64(3))
}

// publishSplit publishes a view with the given split keys and held shards.
func (o *testOwner) publishSplit(split map[uint64]uint32, held ...view.ShardID) {
	v := *o.control.View()
	v.Services = map[string]*view.Service{service: {Base: 8, Split: split, Shards: make([]view.Shard, 9)}}
	o.control.view.Store(&v)
	shards := map[view.ShardID]view.Held{}
	for _, id := range held {
		shards[id] = view.Held{Token: 2}
	}
	o.publish(shards)
}

// A release without rows is handled like a lapse: ids from before it may have
// run.
func TestReleaseWithoutRowsIsTreatedAsLapse(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(3, nil)
	is.Equal(kindOf(b.Execute(context.Background(), request("order-1", ""))), outcome.UnknownHistory)
	b.hold(5, []*wire.RequestMark{})
	is.Equal(kindOf(b.Execute(context.Background(), request("order-1", ""))), outcome.UnknownHistory)
	is.Equal(server.requests.Load(), int64(0))
}

// When a release is withdrawn and the shard resumes under a new token, its
// request ids are kept.
func TestWithdrawnReleaseKeepsRequestIDs(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	is.Equal(kindOf(b.Execute(context.Background(), request("order-1", ""))), outcome.OK)
	b.HandleEffect(control.Quiesce{Shard: shard, Token: 2})
	awaitQuiesced(t, b.control)
	b.HandleEffect(control.TakeOver{Shard: shard, Token: 4, Resumed: control.ResumedUnsent})
	b.publish(map[view.ShardID]view.Held{shard: {Token: 4}})
	is.Equal(kindOf(b.Execute(context.Background(), request("order-1", ""))), outcome.DuplicateRan)
	is.Equal(kindOf(b.Execute(context.Background(), request("order-2", ""))), outcome.OK)
}
