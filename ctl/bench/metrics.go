package bench

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// ServerRuns is what one backend server ran.
type ServerRuns struct {
	Name       string
	Service    string
	DataCentre string
	Runs       []load.Run
}

// Window is a part of a run, as offsets from the start of the load.
type Window struct{ From, To time.Duration }

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

// Imbalance returns the largest load of the service's servers over their mean
// load, in requests started within the window. It is 0 if nothing ran.
func Imbalance(servers []ServerRuns, service string, start time.Time, w Window) float64 {
	most, sum, n := 0, 0, 0
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
		most = max(most, count)
		sum += count
		n++
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}

// Move is a change of a shard's owner in the placement stream.
type Move struct {
	Service  string
	Shard    uint32
	From, To string    // slots; From is empty for a shard that had no owner
	At       time.Time // when the record was read
}

// Moves replays a placement stream and returns every change of owner of the
// services with their numbers of shards, in order.
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
			changed := ownersChanged(state, name, owners)
			for _, m := range changed {
				m.At = entry.Seen
				moves = append(moves, m)
			}
		}
	}
	return moves
}

// ownersChanged returns the changes against owners, and brings owners up to date.
// A shard that was split off counts as owned by nobody before.
func ownersChanged(state *fold.State, service string, owners map[string][]fold.Incarnation) []Move {
	var moves []Move
	before := owners[service]
	for i, sh := range state.Services[service].Shards {
		if i >= len(before) {
			before = append(before, 0)
		}
		if sh.Owner == before[i] {
			continue
		}
		if sh.Owner != 0 {
			moves = append(moves, Move{
				Service: service, Shard: uint32(i), From: slotOf(state, before[i]), To: slotOf(state, sh.Owner),
			})
			before[i] = sh.Owner
		}
	}
	owners[service] = before
	return moves
}

func slotOf(state *fold.State, inc fold.Incarnation) string {
	if m, ok := state.Members[inc]; ok {
		return m.Slot
	}
	return ""
}

// Moved returns the moves between two owners from one instant on and before
// another.
func Moved(moves []Move, from, to time.Time) []Move {
	var list []Move
	for _, m := range moves {
		if m.From != "" && m.From != m.To && !m.At.Before(from) && m.At.Before(to) {
			list = append(list, m)
		}
	}
	return list
}

// Owned returns how many shards each slot owned at an instant.
func Owned(moves []Move, at time.Time) map[string]int {
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

// Churn is the number of moves relative to the least number that reaches the
// new placement. It is 0 if nothing had to move and nothing did.
func Churn(moved, least int) float64 {
	if least == 0 {
		return float64(moved)
	}
	return float64(moved) / float64(least)
}

// Quantile returns the latency below which the part q of the answered requests
// in the window lies, for those that keep. It is 0 without any.
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

// splits returns the splits and merges of keys in the records from an instant on.
func splits(records []Record, from time.Time) (n int) {
	for _, entry := range records {
		rec := new(wire.Record)
		if err := proto.Unmarshal(entry.Data, rec); err != nil || entry.Seen.Before(from) {
			continue
		}
		if rec.GetSplitKey() != nil || rec.GetMergeKey() != nil {
			n++
		}
	}
	return n
}
