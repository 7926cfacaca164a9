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

// The load consists of two kinds of request in an open loop at 1.4 times the server's
// capacity. An answer has its full value within the latency objective and a tenth of
// it after that, up to the deadline. The test simulates the load on the queue and
// on a FIFO baseline that refuses requests when its queue is full.

type kind struct {
	class            string
	priority         uint32
	ratePerS         float64       // arrivals per second
	mean             time.Duration // service time
	target           time.Duration // latency objective, counted from the arrival
	limit            time.Duration // deadline, counted from the arrival
	value, lateValue float64       // value of an answer within the objective, and after it
}

var kinds = []kind{
	{"lookup", 2, 95, 90 * ms, 300 * ms, 2 * time.Second, 1, 0.1},
	{"order", 1, 34, 120 * ms, 400 * ms, 2500 * ms, 2, 0.2},
}

const (
	loadSlots      = 9
	loadDuration   = 40 * time.Second
	fifoQueueLimit = 64
)

// arrival is a request of the simulated load.
type arrival struct {
	at   clock.Instant
	kind int
	work time.Duration
}

// arrivals returns Poisson arrivals of all kinds with log-normal service times.
func arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var load []arrival
	for k, kd := range kinds {
		at := start
		for at < start.Add(loadDuration) {
			at = at.Add(time.Duration(r.ExpFloat64() / kd.ratePerS * float64(time.Second)))
			work := time.Duration(float64(kd.mean) * math.Exp(0.6*r.NormFloat64()-0.18))
			load = append(load, arrival{at, k, work})
		}
	}
	return load
}

type event struct {
	at   clock.Instant
	done *Ticket // the ticket whose run ends; nil for an arrival
	a    arrival
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// result is the value of the answers that callers received.
type result struct {
	possible, received []float64 // possible and received value by kind
	lateRefusals       int       // refusals later than an eighth of the objective after arrival
}

// share returns the share of the possible value that was received.
func (r result) share() float64 {
	return (r.received[0] + r.received[1]) / (r.possible[0] + r.possible[1])
}

func newResult() result {
	return result{possible: make([]float64, len(kinds)), received: make([]float64, len(kinds))}
}

func (r *result) answered(a arrival, at clock.Instant) {
	kd := kinds[a.kind]
	switch took := at.Sub(a.at); {
	case took <= kd.target:
		r.received[a.kind] += kd.value
	case took <= kd.limit:
		r.received[a.kind] += kd.lateValue
	}
}

func (r *result) refused(a arrival, at clock.Instant) {
	if at.Sub(a.at) > kinds[a.kind].target/8 {
		r.lateRefusals++
	}
}

// simulateQueue simulates the load on a Queue.
func simulateQueue(load []arrival) result {
	res := newResult()
	q := New()
	q.SetSlots(loadSlots)
	arrivalOf := map[*Ticket]arrival{}
	var timeline events
	for _, a := range load {
		timeline = append(timeline, event{at: a.at, a: a})
		res.possible[a.kind] += kinds[a.kind].value
	}
	heap.Init(&timeline)
	for timeline.Len() > 0 {
		ev := heap.Pop(&timeline).(event)
		if ev.done != nil {
			q.Done(ev.at, ev.done, true)
			res.answered(arrivalOf[ev.done], ev.at)
		} else {
			kd := kinds[ev.a.kind]
			t := &Ticket{Class: kd.class, Priority: kd.priority, Target: ev.at.Add(kd.target), Deadline: ev.at.Add(kd.limit)}
			arrivalOf[t] = ev.a
			if q.Submit(ev.at, t) != nil {
				res.refused(ev.a, ev.at)
			}
		}
		started, refused := q.Dispatch(ev.at)
		for _, t := range started {
			heap.Push(&timeline, event{at: ev.at.Add(arrivalOf[t].work), done: t})
		}
		for _, r := range refused {
			res.refused(arrivalOf[r.Ticket], ev.at)
		}
	}
	return res
}

// simulateFIFO simulates the load on the FIFO baseline.
func simulateFIFO(load []arrival) result {
	res := newResult()
	var timeline events
	for _, a := range load {
		timeline = append(timeline, event{at: a.at, a: a})
		res.possible[a.kind] += kinds[a.kind].value
	}
	heap.Init(&timeline)
	running := 0
	var waiting []arrival
	for timeline.Len() > 0 {
		ev := heap.Pop(&timeline).(event)
		switch {
		case ev.done != nil:
			running--
			res.answered(ev.a, ev.at)
		case len(waiting) >= fifoQueueLimit:
			res.refused(ev.a, ev.at)
		default:
			waiting = append(waiting, ev.a)
		}
		for running < loadSlots && len(waiting) > 0 {
			next := waiting[0]
			waiting = waiting[1:]
			running++
			heap.Push(&timeline, event{at: ev.at.Add(next.work), done: &Ticket{}, a: next})
		}
	}
	return res
}

// Under overload the queue yields more than twice the value of the FIFO baseline,
// serves the kind of higher priority at least as well as the other (within 0.05),
// starves neither, and makes at most a tenth of the requests late refusals.
func TestOverload(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		load := arrivals(seed)
		got, fifo := simulateQueue(load), simulateFIFO(load)
		t.Logf("seed %d: share of value %.2f (lookup %.2f, order %.2f), FIFO baseline %.2f; late refusals %d of %d requests", seed,
			got.share(), got.received[0]/got.possible[0], got.received[1]/got.possible[1], fifo.share(), got.lateRefusals, len(load))
		is.True(got.share() > 2*fifo.share())
		is.True(got.received[1]/got.possible[1] >= got.received[0]/got.possible[0]-0.05)
		is.True(got.received[0]/got.possible[0] >= got.share()/4) // lookup requests are not starved
		is.True(got.lateRefusals*10 <= len(load))
	}
}
