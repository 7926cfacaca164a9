package bench

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// ServerRuns are the runs of one backend server.
type ServerRuns struct {
	Name       string
	Service    string
	DataCentre string
	Runs       []load.Run
}

// Window is a half-open time interval, as offsets from the start of the load.
type Window struct{ From, To time.Duration }

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

// Imbalance returns the ratio of the highest load of a server of the service to
// the mean load, in requests started within the window. It is 0 if none started.
func Imbalance(servers []ServerRuns, service string, start time.Time, w Window) float64 {
	maxCount, sum, n := 0, 0, 0
	for _, s := range servers {
		if s.Service != service {
			continue
		}
		count := 0
		for _, r := range s.Runs {
			if w.contains(time.UnixMicro(r.At).Sub(start)) {
				count++
			}
		}
		maxCount = max(maxCount, count)
		sum += count
		n++
	}
	if sum == 0 {
		return 0
	}
	return float64(maxCount) * float64(n) / float64(sum)
}

// Move is a change of a shard's owner in the placement stream, the first owner
// included.
type Move struct {
	Service  string
	Shard    uint32
	From, To string    // slots; From is empty without a known previous owner
	At       time.Time // time at which the record was read
}

// Moves replays a placement stream and returns the changes of owner in order.
// services maps the name of each service to its number of shards.
func Moves(records []Record, services map[string]uint32) []Move {
	state := fold.New()
	for name, shards := range services {
		state.EnsureService(name, shards)
	}
	owners := map[string][]fold.Incarnation{}
	var moves []Move
	for _, entry := range records {
		if _, verdict := state.Apply(entry.Offset, entry.Data); !verdict.Accepted {
			continue
		}
		for name := range services {
			changed := ownerChanges(state, name, owners)
			for _, m := range changed {
				m.At = entry.ReadAt
				moves = append(moves, m)
			}
		}
	}
	return moves
}

// ownerChanges returns the shards of the service whose owner differs from owners,
// and updates owners. A shard that lost its owner keeps the previous one in
// owners. A shard created by a split had no owner before.
func ownerChanges(state *fold.State, service string, owners map[string][]fold.Incarnation) []Move {
	var moves []Move
	previous := owners[service]
	for i, sh := range state.Services[service].Shards {
		if i >= len(previous) {
			previous = append(previous, 0)
		}
		if sh.Owner == previous[i] {
			continue
		}
		if sh.Owner != 0 {
			moves = append(moves, Move{
				Service: service, Shard: uint32(i), From: slotOf(state, previous[i]), To: slotOf(state, sh.Owner),
			})
			previous[i] = sh.Owner
		}
	}
	owners[service] = previous
	return moves
}

// slotOf returns the slot of an incarnation, or "" if the state does not have it.
func slotOf(state *fold.State, inc fold.Incarnation) string {
	if m, ok := state.Members[inc]; ok {
		return m.Slot
	}
	return ""
}

// MovesBetween returns the moves from one slot to another in the interval
// [from, to).
func MovesBetween(moves []Move, from, to time.Time) []Move {
	var list []Move
	for _, m := range moves {
		if m.From != "" && m.From != m.To && !m.At.Before(from) && m.At.Before(to) {
			list = append(list, m)
		}
	}
	return list
}

// ShardsBySlot returns the number of shards that each slot owned at a point in time.
func ShardsBySlot(moves []Move, at time.Time) map[string]int {
	type shard struct {
		service string
		number  uint32
	}
	owner := map[shard]string{}
	for _, m := range moves {
		if m.At.Before(at) {
			owner[shard{m.Service, m.Shard}] = m.To
		}
	}
	counts := map[string]int{}
	for _, slot := range owner {
		counts[slot]++
	}
	return counts
}

// Churn returns the number of moves relative to the minimum that reaches the new
// placement. If the minimum is 0, it returns the number of moves.
func Churn(moved, minimum int) float64 {
	if minimum == 0 {
		return float64(moved)
	}
	return float64(moved) / float64(minimum)
}

// Quantile returns the q-quantile of the latency of requests in the window that
// have the outcome ok and for which keep returns true. It is 0 if there are none.
func Quantile(results []load.Result, w Window, q float64, keep func(load.Result) bool) time.Duration {
	var list []time.Duration
	for _, r := range results {
		if r.Outcome == "ok" && w.contains(r.At) && keep(r) {
			list = append(list, r.Latency)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// countSplits returns the number of splits and merges of keys in the records read
// at or after a point in time.
func countSplits(records []Record, from time.Time) (n int) {
	for _, entry := range records {
		rec := new(wire.Record)
		if err := proto.Unmarshal(entry.Data, rec); err != nil || entry.ReadAt.Before(from) {
			continue
		}
		if rec.GetSplitKey() != nil || rec.GetMergeKey() != nil {
			n++
		}
	}
	return n
}
