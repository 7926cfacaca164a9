package fold

import (
	"maps"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// modelState is the reference model of State. It keeps values in flat maps and
// is replayed from the full history for each comparison.
type modelState struct {
	slots      map[string]bool
	members    map[uint64]modelMember
	shards     map[modelShardKey]Shard
	split      map[modelSplitKey]uint32
	freed      map[modelShardKey]bool
	shardCount map[string]int // one more than the highest shard number that a record referred to
	ids        map[string]bool
}

type modelShardKey struct {
	service string
	number  uint32
}

type modelSplitKey struct {
	service string
	hash    uint64
}

type modelMember struct {
	slot      string
	phase     Phase
	witnesses []string
}

type logEntry struct {
	offset uint64
	rec    *wire.Record
}

func replayModel(history []logEntry) *modelState {
	st := &modelState{
		slots: map[string]bool{}, members: map[uint64]modelMember{}, shards: map[modelShardKey]Shard{},
		split: map[modelSplitKey]uint32{}, freed: map[modelShardKey]bool{}, shardCount: map[string]int{}, ids: map[string]bool{},
	}
	for _, e := range history {
		if st.ids[string(e.rec.Id)] {
			continue
		}
		st.ids[string(e.rec.Id)] = true
		st.apply(e)
	}
	return st
}

func (st *modelState) apply(e logEntry) {
	r := e.rec
	switch {
	case r.GetAnnounce() != nil:
		st.slots[r.GetAnnounce().Slot] = true
	case r.GetJoin() != nil:
		st.join(e.offset, r.GetJoin())
	case r.GetReady() != nil:
		st.move(r.GetReady().Incarnation, Joined, InService)
	case r.GetLapse() != nil:
		m := st.members[r.GetLapse().Incarnation]
		sealCount := 0
		for _, w := range m.witnesses {
			if slices.Contains(r.GetLapse().SealedBy, w) {
				sealCount++
			}
		}
		if sealCount > len(m.witnesses)/2 {
			st.end(r.GetLapse().Incarnation)
		}
	case r.GetLeave() != nil:
		if r.Author == r.GetLeave().Incarnation {
			st.end(r.Author)
		}
	case r.GetPropose() != nil:
		for _, pl := range r.GetPropose().Placements {
			st.propose(pl)
		}
	case r.GetSplitKey() != nil:
		st.splitKey(r.Author, r.GetSplitKey())
	case r.GetMergeKey() != nil:
		st.mergeKey(r.Author, r.GetMergeKey())
	default:
		st.applyRefs(r)
	}
}

func (st *modelState) join(offset uint64, j *wire.Join) {
	if !st.slots[j.Slot] || len(j.Witnesses)%2 == 0 {
		return
	}
	maps.DeleteFunc(st.members, func(_ uint64, m modelMember) bool { return m.slot == j.Slot && m.phase != InService })
	st.members[offset] = modelMember{slot: j.Slot, witnesses: j.Witnesses}
}

func (st *modelState) move(inc uint64, from, to Phase) bool {
	m, ok := st.members[inc]
	if !ok || m.phase != from {
		return false
	}
	m.phase = to
	st.members[inc] = m
	return true
}

func (st *modelState) end(inc uint64) {
	if !st.move(inc, InService, Gone) && !st.move(inc, Joined, Gone) {
		return
	}
	for k, sh := range st.shards {
		if sh.Owner == inc {
			sh = modelPromote(sh)
		}
		if sh.Standby == inc {
			sh = modelSetStandby(sh, 0)
		}
		if sh.HasPending && sh.Pending == inc {
			sh.HasPending, sh.Pending = false, 0
		}
		st.shards[k] = sh
	}
}

func modelSetStandby(sh Shard, inc uint64) Shard {
	return Shard{Owner: sh.Owner, Standby: inc, Generation: sh.Generation + 2}
}

func modelPromote(sh Shard) Shard {
	if sh.Standby == 0 {
		out := Shard{Generation: sh.Generation + 2}
		if sh.HasPending && sh.Pending != 0 {
			return modelSetStandby(out, sh.Pending)
		}
		return out
	}
	out := Shard{Owner: sh.Standby, Generation: sh.Generation + 1}
	if sh.HasPending && sh.Pending != sh.Standby {
		out = modelSetStandby(out, sh.Pending)
	}
	return out
}

// at returns the shard that ref refers to and whether it is at ref's generation.
func (st *modelState) at(ref *wire.ShardRef) (modelShardKey, Shard, bool) {
	k := modelShardKey{ref.GetService(), ref.GetShard()}
	return k, st.shards[k], st.shards[k].Generation == ref.GetGeneration() && int(k.number) < st.shardCount[k.service]
}

func (st *modelState) propose(pl *wire.Placement) {
	if pl.Ref.Generation == 0 {
		st.shardCount[pl.Ref.Service] = max(st.shardCount[pl.Ref.Service], int(pl.Ref.Shard)+1)
	}
	k, sh, ok := st.at(pl.Ref)
	standbyOK := pl.Standby == 0 || st.members[pl.Standby].phase == InService
	if !ok || st.freed[k] || !standbyOK {
		return
	}
	switch {
	case sh.Owner == 0:
		if st.members[pl.Owner].phase != InService || pl.Owner == pl.Standby {
			return
		}
		sh.Owner = pl.Owner
		sh = modelSetStandby(sh, pl.Standby)
	case pl.Owner != 0 && pl.Owner != sh.Owner, pl.Standby == sh.Owner, pl.Standby == sh.Standby:
		return
	case sh.Standby == 0:
		sh = modelSetStandby(sh, pl.Standby)
	default:
		sh.Pending, sh.HasPending = pl.Standby, true
	}
	st.shards[k] = sh
}

// applyRefs applies the kinds of records that list shard references.
func (st *modelState) applyRefs(r *wire.Record) {
	for _, ref := range r.GetHandover().GetRefs() {
		if k, sh, ok := st.at(ref); ok && sh.Standby != 0 {
			sh.Handover = true
			st.shards[k] = sh
		}
	}
	for _, ref := range r.GetConsent().GetRefs() {
		if k, sh, ok := st.at(ref); ok && r.Author == r.GetConsent().Incarnation && sh.Standby == r.Author && sh.Owner != 0 {
			st.shards[k] = modelSetStandby(sh, sh.Pending)
		}
	}
	for _, ref := range r.GetTakeover().GetRefs() {
		if k, sh, ok := st.at(ref); ok && r.Author == r.GetTakeover().Incarnation &&
			sh.Standby != 0 && (sh.Standby == r.Author || sh.Owner == r.Author) {
			promoted := modelPromote(sh)
			if r.GetTakeover().FormerStandsBy && promoted.Owner == r.Author && promoted.Standby == 0 &&
				st.members[sh.Owner].phase == InService {
				promoted = modelSetStandby(promoted, sh.Owner)
			}
			st.shards[k] = promoted
		}
	}
}

func (st *modelState) splitKey(author uint64, sp *wire.SplitKey) {
	pk, parent, ok := st.at(sp.Parent)
	ck := modelShardKey{sp.Service, sp.Shard}
	h := modelSplitKey{sp.Service, sp.KeyHash}
	_, dup := st.split[h]
	for other, n := range st.split {
		dup = dup || other.service == pk.service && n == pk.number
	}
	taken := int(sp.Shard) < st.shardCount[sp.Service] && !st.freed[ck]
	if !ok || author == 0 || parent.Owner != author || dup || taken || pk.service != sp.Service {
		return
	}
	st.shardCount[sp.Service] = max(st.shardCount[sp.Service], int(sp.Shard)+1)
	delete(st.freed, ck)
	st.split[h] = sp.Shard
	st.shards[ck] = Shard{Owner: parent.Owner, Standby: parent.Standby, Generation: st.shards[ck].Generation + 2}
	parent.Generation += 2
	parent.Handover = false
	st.shards[pk] = parent
}

func (st *modelState) mergeKey(author uint64, m *wire.MergeKey) {
	pk, parent, ok1 := st.at(m.Parent)
	ck, child, ok2 := st.at(m.Split)
	h := modelSplitKey{m.Service, m.KeyHash}
	n, isSplit := st.split[h]
	if !ok1 || !ok2 || !isSplit || n != ck.number || ck == pk || author == 0 ||
		parent.Owner != author || child.Owner != author || parent.Standby != child.Standby {
		return
	}
	st.shards[ck] = Shard{Generation: child.Generation + 2}
	parent.Generation += 2
	parent.Handover = false
	st.shards[pk] = parent
	st.freed[ck] = true
	delete(st.split, h)
}
