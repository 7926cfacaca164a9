package runqueue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// The load: two kinds of request in open loop at 1.4 times what the server bears,
// each worth most within its objective and a tenth later. It is played on the
// queue and on the naive policy: first come, first served, refused when the queue
// is full.

type kind struct {
	class       string
	priority    uint32
	perS        float64
	mean        time.Duration
	target      time.Duration
	limit       time.Duration
	worth, late float64
}

var kinds = []kind{
	{"lookup", 2, 95, 90 * ms, 300 * ms, 2 * time.Second, 1, 0.1},
	{"order", 1, 34, 120 * ms, 400 * ms, 2500 * ms, 2, 0.2},
}

const (
	loadSlots    = 9
	loadDuration = 40 * time.Second
	naiveQueue   = 64
)

type arrival struct {
	at   clock.Instant
	kind int
	work time.Duration
}

func arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	for k, kd := range kinds {
		at := start
		for at < start.Add(loadDuration) {
			at = at.Add(time.Duration(r.ExpFloat64() / kd.perS * float64(time.Second)))
			work := time.Duration(float64(kd.mean) * math.Exp(0.6*r.NormFloat64()-0.18))
			list = append(list, arrival{at, k, work})
		}
	}
	return list
}

type event struct {
	at   clock.Instant
	done *Ticket // nil: an arrival
	a    arrival
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// result is what callers got.
type result struct {
	owed, earned []float64 // by kind
	lateRefusals int       // told later than an eighth of the objective
}

func (r result) share() float64 {
	return (r.earned[0] + r.earned[1]) / (r.owed[0] + r.owed[1])
}

func newResult() result {
	return result{owed: make([]float64, len(kinds)), earned: make([]float64, len(kinds))}
}

func (r *result) answered(a arrival, at clock.Instant) {
	kd := kinds[a.kind]
	switch took := at.Sub(a.at); {
	case took <= kd.target:
		r.earned[a.kind] += kd.worth
	case took <= kd.limit:
		r.earned[a.kind] += kd.late
	}
}

func (r *result) refused(a arrival, at clock.Instant) {
	if at.Sub(a.at) > kinds[a.kind].target/8 {
		r.lateRefusals++
	}
}

func playQueue(list []arrival) result {
	res := newResult()
	q := New()
	q.SetSlots(loadSlots)
	of := map[*Ticket]arrival{}
	var line events
	for _, a := range list {
		line = append(line, event{at: a.at, a: a})
		res.owed[a.kind] += kinds[a.kind].worth
	}
	heap.Init(&line)
	for line.Len() > 0 {
		ev := heap.Pop(&line).(event)
		if ev.done != nil {
			q.Done(ev.at, ev.done, true)
			res.answered(of[ev.done], ev.at)
		} else {
			kd := kinds[ev.a.kind]
			t := &Ticket{Class: kd.class, Priority: kd.priority, Target: ev.at.Add(kd.target), Limit: ev.at.Add(kd.limit)}
			of[t] = ev.a
			if q.Submit(ev.at, t) != nil {
				res.refused(ev.a, ev.at)
			}
		}
		started, refused := q.Next(ev.at)
		for _, t := range started {
			heap.Push(&line, event{at: ev.at.Add(of[t].work), done: t})
		}
		for _, r := range refused {
			res.refused(of[r.Ticket], ev.at)
		}
	}
	return res
}

func playNaive(list []arrival) result {
	res := newResult()
	var line events
	for _, a := range list {
		line = append(line, event{at: a.at, a: a})
		res.owed[a.kind] += kinds[a.kind].worth
	}
	heap.Init(&line)
	running := 0
	var waiting []arrival
	for line.Len() > 0 {
		ev := heap.Pop(&line).(event)
		switch {
		case ev.done != nil:
			running--
			res.answered(ev.a, ev.at)
		case len(waiting) >= naiveQueue:
			res.refused(ev.a, ev.at)
		default:
			waiting = append(waiting, ev.a)
		}
		for running < loadSlots && len(waiting) > 0 {
			next := waiting[0]
			waiting = waiting[1:]
			running++
			heap.Push(&line, event{at: ev.at.Add(next.work), done: &Ticket{}, a: next})
		}
	}
	return res
}

// Under overload callers get more of what the server can give than first come,
// first served gives them; the more urgent kind is served no less; refusals are
// told at once.
func TestOverload(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		list := arrivals(seed)
		got, naive := playQueue(list), playNaive(list)
		t.Logf("seed %d: earned %.2f (lookup %.2f, order %.2f), naive %.2f; refusals told late %d of %d", seed,
			got.share(), got.earned[0]/got.owed[0], got.earned[1]/got.owed[1], naive.share(), got.lateRefusals, len(list))
		is.True(got.share() > 2*naive.share())
		is.True(got.earned[1]/got.owed[1] >= got.earned[0]/got.owed[0]-0.05)
		is.True(got.earned[0]/got.owed[0] >= got.share()/4) // nobody starves
		is.True(got.lateRefusals*10 <= len(list))
	}
}
