package runqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/link"
)

// linkedServer is a backend server behind a link, in virtual time. Its link is a queue of bytes
// that drains at its rate. Clients ask for bulk, and nested calls for small responses.
type linkedServer struct {
	queue *Queue
	link  *link.Link // nil: the link is not accounted for
	rng   *rand.Rand
	now   clock.Instant
	ends  map[*Ticket]clock.Instant // end of each run
	sizes map[*Ticket]int           // true size of each response
	known *link.Sizes

	transfers map[*link.Transfer]*Ticket
	rate      float64 // bytes per second
	wire      []packet
	partly    float64

	onTime, late map[string]int // by deadline
	inAim        map[string]int // by latency objective
	refused      []Refusal
	slowRefusals int
	arrived      map[*Ticket]clock.Instant
}

// packet is a piece of a response on the link.
type packet struct {
	t     *Ticket
	bytes float64
	last  bool
}

func newLinkedServer(seed uint64, mbps float64, accounted bool) *linkedServer {
	s := &linkedServer{
		queue: New(), rng: rand.New(rand.NewPCG(seed, 9)), now: start, rate: mbps * 1e6 / 8,
		ends: map[*Ticket]clock.Instant{}, sizes: map[*Ticket]int{}, known: link.NewSizes(),
		transfers: map[*link.Transfer]*Ticket{}, onTime: map[string]int{}, late: map[string]int{}, inAim: map[string]int{}, arrived: map[*Ticket]clock.Instant{},
	}
	s.queue.SetSlots(12)
	if accounted {
		s.link = link.New(mbps)
		s.queue.SetLink(s.link)
	}
	return s
}

const (
	bulkTarget, bulkDeadline = 500 * time.Millisecond, 3 * time.Second
	nestedDeadline           = 600 * time.Millisecond
)

func (s *linkedServer) submit(t *Ticket, size int) {
	s.sizes[t], s.arrived[t] = size, s.now
	if r := s.queue.Submit(s.now, t); r != nil {
		s.refused = append(s.refused, *r)
	}
}

// play lets requests for bulk come at a demand in bytes per second, and perS nested calls.
func (s *linkedServer) play(length time.Duration, demand, perS float64) {
	const mean = 90e3
	for end := s.now.Add(length); s.now < end; s.now = s.now.Add(ms) {
		if s.rng.Float64() < demand/mean*ms.Seconds() {
			t := &Ticket{Class: "download", Priority: 3, Target: s.now.Add(bulkTarget), Deadline: s.now.Add(bulkDeadline)}
			t.Size, t.Spread, _ = s.known.Expected("download", true)
			s.submit(t, min(540_000, int(20_000+s.rng.ExpFloat64()*70_000)))
		}
		if s.rng.Float64() < perS*ms.Seconds() {
			s.submit(&Ticket{Class: "nested", Nested: true, Target: s.now.Add(nestedDeadline), Deadline: s.now.Add(nestedDeadline)}, 2000)
		}
		for t, at := range s.ends {
			if s.now >= at {
				s.queue.Done(s.now, t, true)
				delete(s.ends, t)
				s.answer(t)
			}
		}
		started, refused := s.queue.Dispatch(s.now)
		for _, t := range started {
			s.ends[t] = s.now.Add(55 * ms)
		}
		for _, r := range refused {
			s.refused = append(s.refused, r)
			if s.now.Sub(s.arrived[r.Ticket]) > bulkTarget/8 {
				s.slowRefusals++
			}
		}
		s.carry()
	}
}

// answer gives a response to the link.
func (s *linkedServer) answer(t *Ticket) {
	size := s.sizes[t]
	s.known.Record(t.Class, size)
	switch {
	case s.link == nil:
		s.wire = append(s.wire, packet{t, float64(size), true})
	case size < link.Large:
		s.link.CountSmall(s.now, size)
		s.wire = append(s.wire, packet{t, float64(size), true})
	default:
		transfer := s.link.Offer(s.now, linkRank(t), size)
		s.transfers[transfer] = t
		s.link.Await(transfer)
	}
}

func (s *linkedServer) carry() {
	for s.link != nil {
		transfer, piece, _ := s.link.Grant(s.now)
		if transfer == nil {
			break
		}
		done := transfer.Left() == 0
		s.wire = append(s.wire, packet{s.transfers[transfer], float64(piece), done})
		if s.link.Await(transfer); done {
			s.link.Drop(transfer)
		}
	}
	s.partly += s.rate * ms.Seconds()
	for len(s.wire) > 0 && s.partly >= s.wire[0].bytes {
		p := s.wire[0]
		s.wire = s.wire[1:]
		s.partly -= p.bytes
		if !p.last {
			continue
		}
		if s.now < p.t.Target {
			s.inAim[p.t.Class]++
		}
		if s.now < p.t.Deadline {
			s.onTime[p.t.Class]++
		} else {
			s.late[p.t.Class]++
		}
	}
	if len(s.wire) == 0 {
		s.partly = 0
	}
}

// Six servers behind links of 10 Mbit/s have a demand of 66 Mbit/s of bulk beside small nested
// calls. The bulk delayed all of them beyond their deadlines, after they had held slots.
func TestBulkBeyondTheLinkIsRefusedAtOnce(t *testing.T) {
	const length, demand, nested = 40 * time.Second, 11e6 / 8, 30.0
	for seed := range uint64(6) {
		is := is.New(t)
		plain := newLinkedServer(seed, 10, false)
		plain.play(length, demand, nested)
		is.True(plain.late["nested"] > 5*plain.onTime["nested"]/10) // the fault

		s := newLinkedServer(seed, 10, true)
		s.play(length, demand, nested)
		t.Logf("without: on time %v late %v; with: on time %v late %v in aim %v refused %d", plain.onTime, plain.late, s.onTime, s.late, s.inAim, len(s.refused))
		is.Equal(s.late["nested"], 0)
		is.True(float64(s.onTime["nested"]) > 0.97*nested*length.Seconds()*0.9)   // of those that arrived
		is.Equal(s.late["download"], 0)                                           // accepted bulk is on time
		is.True(float64(s.inAim["download"]) > 0.9*float64(s.onTime["download"])) // and mostly within its objective
		is.True(float64(s.onTime["download"])*90e3 > 0.6*s.rate*length.Seconds())
		is.True(s.slowRefusals*20 <= len(s.refused))
		is.True(!slices.ContainsFunc(s.refused, func(r Refusal) bool { return r.Ticket.Nested }))
		for _, r := range s.refused {
			is.True(r.RetryAfter > 0 && r.RetryAfter <= maxRetryAfter)
		}
	}
}

// Callers that were refused came back after their objectives, and their responses made those of others
// late, who were refused in turn: nearly all of a link's responses were late.
func TestReturnedCallersMakeNoOtherLate(t *testing.T) {
	is := is.New(t)
	s := newLinkedServer(1, 10, true)
	const perS = 10.0 // of 90 kB: 7.2 Mbit/s each of first attempts and of late ones
	for end := s.now.Add(30 * time.Second); s.now < end; {
		if s.rng.Float64() < perS*ms.Seconds() {
			late := &Ticket{Class: "returned", Priority: 3, Target: s.now - 1, Deadline: s.now.Add(bulkDeadline)}
			late.Size, late.Spread, _ = s.known.Expected("returned", true)
			s.submit(late, min(540_000, int(20_000+s.rng.ExpFloat64()*70_000)))
		}
		s.play(ms, perS*90e3, 0)
	}
	t.Logf("in aim %v, on time %v, refused %d", s.inAim, s.onTime, len(s.refused))
	is.True(s.inAim["download"] > 200) // of some 300 that the link could carry alone
	is.True(s.onTime["returned"] > 0)
}

// A link that is not the bottleneck must change nothing.
func TestIdleLinkRefusesNothing(t *testing.T) {
	is := is.New(t)
	s := newLinkedServer(1, 100, true)
	s.play(20*time.Second, 11e6/8, 30)
	is.Equal(len(s.refused), 0)
	is.Equal(s.late["download"]+s.late["nested"], 0)
}

// A promise that outlives its request would count as backlog for good.
func TestPromisesEnd(t *testing.T) {
	is := is.New(t)
	s := newLinkedServer(1, 10, true)
	s.play(10*time.Second, 20e6/8, 10)
	s.queue.RemoveWaiting(func(*Ticket) bool { return true })
	for t := range s.ends {
		s.queue.Done(s.now, t, false)
	}
	for transfer := range s.transfers {
		s.link.Drop(transfer)
	}
	is.Equal(s.link.Backlog(s.now), time.Duration(0))
}
