package owner

import (
	"github.com/sesamemoor/sesamemoor/core/view"
)

// flight is one request that runs on the backend server.
type flight struct {
	shard   view.ShardID // under which it was dispatched
	keyHash uint64
}

// inflight is the set of requests that run on the backend server. It is not
// safe for concurrent use.
type inflight struct {
	last    uint64
	flights map[uint64]flight
}

func newInflight() *inflight { return &inflight{flights: map[uint64]flight{}} }

// begin adds a request and returns its number.
func (f *inflight) begin(fl flight) uint64 {
	f.last++
	f.flights[f.last] = fl
	return f.last
}

// end removes a request by its number.
func (f *inflight) end(number uint64) { delete(f.flights, number) }

// busy reports whether a request of the shard runs: one that was dispatched
// under it, or one whose key belongs to it since a split or merge.
func (f *inflight) busy(id view.ShardID, v *view.View) bool {
	for _, fl := range f.flights {
		if fl.shard == id {
			return true
		}
		if fl.shard.Service == id.Service && shardOf(v, id.Service, fl.keyHash) == id {
			return true
		}
	}
	return false
}

// shardOf returns the shard to which a key belongs in the view.
func shardOf(v *view.View, service string, keyHash uint64) view.ShardID {
	svc, ok := v.Services[service]
	if !ok {
		return view.ShardID{}
	}
	return view.ShardID{Service: service, Shard: svc.ShardOf(keyHash)}
}
