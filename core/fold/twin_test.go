package fold

import (
	"maps"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// twin is a naive version of State: values in flat maps, replayed from the full
// history for each question.
type twin struct {
	slots   map[string]bool
	members map[uint64]twinMember
	shards  map[twinKey]Shard
	split   map[twinHash]uint32
	freed   map[twinKey]bool
	top     map[string]int // one more than the highest number named
	ids     map[string]bool
}

type twinKey struct {
	service string
	number  uint32
}

type twinHash struct {
	service string
	hash    uint64
}

type twinMember struct {
	slot      string
	phase     Phase
	witnesses []string
}

type twinEntry struct {
	offset uint64
	rec    *wire.Record
}

func replayTwin(history []twinEntry) *twin {
	tw := &twin{
		slots: map[string]bool{}, members: map[uint64]twinMember{}, shards: map[twinKey]Shard{},
		split: map[twinHash]uint32{}, freed: map[twinKey]bool{}, top: map[string]int{}, ids: map[string]bool{},
	}
	for _, e := range history {
		if tw.ids[string(e.rec.Id)] {
			continue
		}
		tw.ids[string(e.rec.Id)] = true
		tw.apply(e)
	}
	return tw
}

func (tw *twin) apply(e twinEntry) {
	r := e.rec
	switch {
	case r.GetAnnounce() != nil:
		tw.slots[r.GetAnnounce().Slot] = true
	case r.GetJoin() != nil:
		tw.join(e.offset, r.GetJoin())
	case r.GetReady() != nil:
		tw.move(r.GetReady().Incarnation, Joined, InService)
	case r.GetLapse() != nil:
		m := tw.members[r.GetLapse().Incarnation]
		votes := 0
		for _, w := range m.witnesses {
			if slices.Contains(r.GetLapse().SealedBy, w) {
				votes++
			}
		}
		if votes > len(m.witnesses)/2 {
			tw.end(r.GetLapse().Incarnation)
		}
	case r.GetLeave() != nil:
		if r.Author == r.GetLeave().Incarnation {
			tw.end(r.Author)
		}
	case r.GetPropose() != nil:
		for _, pl := range r.GetPropose().Placements {
			tw.propose(pl)
		}
	case r.GetSplitKey() != nil:
		tw.splitKey(r.Author, r.GetSplitKey())
	case r.GetMergeKey() != nil:
		tw.mergeKey(r.Author, r.GetMergeKey())
	default:
		tw.ownRefs(r)
	}
}

func (tw *twin) join(offset uint64, j *wire.Join) {
	if !tw.slots[j.Slot] || len(j.Witnesses)%2 == 0 {
		return
	}
	maps.DeleteFunc(tw.members, func(_ uint64, m twinMember) bool { return m.slot == j.Slot && m.phase != InService })
	tw.members[offset] = twinMember{slot: j.Slot, witnesses: j.Witnesses}
}

func (tw *twin) move(inc uint64, from, to Phase) bool {
	m, ok := tw.members[inc]
	if !ok || m.phase != from {
		return false
	}
	m.phase = to
	tw.members[inc] = m
	return true
}

func (tw *twin) end(inc uint64) {
	if !tw.move(inc, InService, Gone) && !tw.move(inc, Joined, Gone) {
		return
	}
	for k, sh := range tw.shards {
		if sh.Owner == inc {
			sh = twinPromote(sh)
		}
		if sh.Standby == inc {
			sh = twinStandby(sh, 0)
		}
		if sh.HasPending && sh.Pending == inc {
			sh.HasPending, sh.Pending = false, 0
		}
		tw.shards[k] = sh
	}
}

func twinStandby(sh Shard, inc uint64) Shard {
	return Shard{Owner: sh.Owner, Standby: inc, Generation: sh.Generation + 2}
}

func twinPromote(sh Shard) Shard {
	if sh.Standby == 0 {
		out := Shard{Generation: sh.Generation + 2}
		if sh.HasPending && sh.Pending != 0 {
			return twinStandby(out, sh.Pending)
		}
		return out
	}
	out := Shard{Owner: sh.Standby, Generation: sh.Generation + 1}
	if sh.HasPending && sh.Pending != sh.Standby {
		out = twinStandby(out, sh.Pending)
	}
	return out
}

// at returns the named shard if it is at the generation that ref names.
func (tw *twin) at(ref *wire.ShardRef) (twinKey, Shard, bool) {
	k := twinKey{ref.GetService(), ref.GetShard()}
	return k, tw.shards[k], tw.shards[k].Generation == ref.GetGeneration() && int(k.number) < tw.top[k.service]
}

func (tw *twin) propose(pl *wire.Placement) {
	if pl.Ref.Generation == 0 {
		tw.top[pl.Ref.Service] = max(tw.top[pl.Ref.Service], int(pl.Ref.Shard)+1)
	}
	k, sh, ok := tw.at(pl.Ref)
	standbyOK := pl.Standby == 0 || tw.members[pl.Standby].phase == InService
	if !ok || tw.freed[k] || !standbyOK {
		return
	}
	switch {
	case sh.Owner == 0:
		if tw.members[pl.Owner].phase != InService || pl.Owner == pl.Standby {
			return
		}
		sh.Owner = pl.Owner
		sh = twinStandby(sh, pl.Standby)
	case pl.Owner != 0 && pl.Owner != sh.Owner, pl.Standby == sh.Owner, pl.Standby == sh.Standby:
		return
	case sh.Standby == 0:
		sh = twinStandby(sh, pl.Standby)
	default:
		sh.Pending, sh.HasPending = pl.Standby, true
	}
	tw.shards[k] = sh
}

// ownRefs applies the records that name shards one by one.
func (tw *twin) ownRefs(r *wire.Record) {
	for _, ref := range r.GetHandover().GetRefs() {
		if k, sh, ok := tw.at(ref); ok && sh.Standby != 0 {
			sh.Handover = true
			tw.shards[k] = sh
		}
	}
	for _, ref := range r.GetConsent().GetRefs() {
		if k, sh, ok := tw.at(ref); ok && r.Author == r.GetConsent().Incarnation && sh.Standby == r.Author && sh.Owner != 0 {
			tw.shards[k] = twinStandby(sh, sh.Pending)
		}
	}
	for _, ref := range r.GetTakeover().GetRefs() {
		if k, sh, ok := tw.at(ref); ok && r.Author == r.GetTakeover().Incarnation &&
			sh.Standby != 0 && (sh.Standby == r.Author || sh.Owner == r.Author) {
			promoted := twinPromote(sh)
			if r.GetTakeover().FormerStandsBy && promoted.Owner == r.Author && promoted.Standby == 0 &&
				tw.members[sh.Owner].phase == InService {
				promoted = twinStandby(promoted, sh.Owner)
			}
			tw.shards[k] = promoted
		}
	}
}

func (tw *twin) splitKey(author uint64, sp *wire.SplitKey) {
	pk, parent, ok := tw.at(sp.Parent)
	ck := twinKey{sp.Service, sp.Shard}
	h := twinHash{sp.Service, sp.KeyHash}
	_, dup := tw.split[h]
	for other, n := range tw.split {
		dup = dup || other.service == pk.service && n == pk.number
	}
	taken := int(sp.Shard) < tw.top[sp.Service] && !tw.freed[ck]
	if !ok || author == 0 || parent.Owner != author || dup || taken || pk.service != sp.Service {
		return
	}
	tw.top[sp.Service] = max(tw.top[sp.Service], int(sp.Shard)+1)
	delete(tw.freed, ck)
	tw.split[h] = sp.Shard
	tw.shards[ck] = Shard{Owner: parent.Owner, Standby: parent.Standby, Generation: tw.shards[ck].Generation + 2}
	parent.Generation += 2
	parent.Handover = false
	tw.shards[pk] = parent
}

func (tw *twin) mergeKey(author uint64, m *wire.MergeKey) {
	pk, parent, ok1 := tw.at(m.Parent)
	ck, child, ok2 := tw.at(m.Split)
	h := twinHash{m.Service, m.KeyHash}
	n, isSplit := tw.split[h]
	if !ok1 || !ok2 || !isSplit || n != ck.number || ck == pk || author == 0 ||
		parent.Owner != author || child.Owner != author || parent.Standby != child.Standby {
		return
	}
	tw.shards[ck] = Shard{Generation: child.Generation + 2}
	parent.Generation += 2
	parent.Handover = false
	tw.shards[pk] = parent
	tw.freed[ck] = true
	delete(tw.split, h)
}
