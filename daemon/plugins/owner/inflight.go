package owner

import (
	"github.com/sesamemoor/sesamemoor/core/view"
)

// routedRequest is a request's key and the shard to which it was routed.
type routedRequest struct {
	shard   view.ShardID // at the time of routing; a split or merge may have moved the key since
	keyHash uint64
}

// inflight is the set of requests in flight to the backend server. It is not
// safe for concurrent use.
type inflight struct {
	last     uint64
	byNumber map[uint64]routedRequest
}

func newInflight() *inflight { return &inflight{byNumber: map[uint64]routedRequest{}} }

// begin adds a request and returns its number.
func (f *inflight) begin(routed routedRequest) uint64 {
	f.last++
	f.byNumber[f.last] = routed
	return f.last
}

// end removes a request by its number.
func (f *inflight) end(number uint64) { delete(f.byNumber, number) }

// busy reports whether a request of the shard is in flight: one that was
// dispatched under the shard, or one whose key moved to it by a split or merge.
func (f *inflight) busy(id view.ShardID, v *view.View) bool {
	for _, routed := range f.byNumber {
		if routed.shard == id {
			return true
		}
		if routed.shard.Service == id.Service && shardOf(v, id.Service, routed.keyHash) == id {
			return true
		}
	}
	return false
}

// shardOf returns the shard to which a key belongs in the view, or the zero
// ShardID if the view does not contain the service.
func shardOf(v *view.View, service string, keyHash uint64) view.ShardID {
	svc, ok := v.Services[service]
	if !ok {
		return view.ShardID{}
	}
	return view.ShardID{Service: service, Shard: svc.ShardOf(keyHash)}
}
