package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/view"
)

// A request in flight under the parent shard keeps the shard to which its key was
// split busy: the key must not move to another owner while the request runs.
func TestSplitShardIsBusyWithRequestsOfParentShard(t *testing.T) {
	is := is.New(t)
	const hash = 17
	parent := view.ShardID{Service: "storefront", Shard: hash % 4}
	child := view.ShardID{Service: "storefront", Shard: 4}
	v := &view.View{Services: map[string]*view.Service{"storefront": {Base: 4, Shards: make([]view.Shard, 5)}}}
	f := newInflight()
	number := f.begin(routedRequest{shard: parent, keyHash: hash})
	is.True(f.busy(parent, v))
	is.True(!f.busy(child, v))
	v.Services["storefront"].Split = map[uint64]uint32{hash: child.Shard}
	is.True(f.busy(child, v))
	is.True(f.busy(parent, v))
	f.end(number)
	is.True(!f.busy(child, v))
}
