package bucket

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// event is a scheduled action of the model.
type event struct {
	at clock.Instant
	n  uint64 // order of events at the same time
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// model simulates one team's requests at several daemons with a keeper at oneWay
// delay, next to the reference bucket that receives the same requests.
type model struct {
	rand            *rand.Rand
	now             clock.Instant
	count           uint64
	timeline        events
	limit           Limit
	keeper          *Bucket
	referenceBucket referenceBucket
	caches          []*TokenCache
	refused         int // refused requests
	falseRefusals   int // of these, admitted by the reference bucket
	admitted        int
	requestsSent    int
	longestWait     time.Duration // longest wait for a token
}

const oneWay = time.Millisecond

func newModel(limit Limit, daemons int) *model {
	m := &model{rand: rand.New(rand.NewPCG(1, 2)), limit: limit, keeper: NewFull(0), referenceBucket: referenceBucket{tokens: limit.Burst}}
	for range daemons {
		m.caches = append(m.caches, &TokenCache{})
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.count++
	heap.Push(&m.timeline, event{m.now.Add(d), m.count, do})
}

func (m *model) run(until time.Duration) {
	for len(m.timeline) > 0 && m.timeline[0].at < clock.Instant(until) {
		e := heap.Pop(&m.timeline).(event)
		m.now = e.at
		e.do()
	}
}

// request simulates the arrival of a request at a daemon.
func (m *model) request(daemon int) {
	allowed := m.referenceBucket.tokens + m.limit.Rate*(time.Duration(m.now)-m.referenceBucket.at).Seconds()
	within := math.Min(allowed, m.limit.Burst) >= 1
	if within {
		m.referenceBucket.withinLimit(time.Duration(m.now), m.limit.Rate, m.limit.Burst, 1)
	}
	s := m.caches[daemon]
	switch v, _ := s.Arrive(m.now, &Waiter{Data: within}); v {
	case Taken:
		m.admitted++
	case Refused:
		m.refuse(within)
	}
	m.ask(s)
}

func (m *model) refuse(within bool) {
	m.refused++
	if within {
		m.falseRefusals++
	}
}

func (m *model) ask(s *TokenCache) {
	q := s.NextRequest(m.now)
	if q == nil {
		if at := s.NextRequestAt(); at > m.now {
			m.after(at.Sub(m.now), func() { m.ask(s) })
		}
		return
	}
	m.requestsSent++
	m.after(oneWay, func() {
		if m.keeper == nil {
			m.after(25*time.Millisecond, func() {
				s.Fail(q)
				m.ask(s)
			})
			return
		}
		m.keeper.Arrived(m.now, m.limit, float64(q.Arrived))
		g := m.keeper.Take(m.now, m.limit, float64(q.Need), float64(q.Extra))
		m.after(oneWay, func() {
			taken, refused, _ := s.ApplyGrant(m.now, q, g)
			m.admitted += len(taken)
			for _, w := range taken {
				m.longestWait = max(m.longestWait, m.now.Sub(w.arrivedAt))
			}
			for _, w := range refused {
				m.refuse(w.Data.(bool))
			}
			m.ask(s)
		})
	})
}

// poisson schedules requests at random intervals with the given mean rate, each at the
// daemon that pick returns.
func (m *model) poisson(rate float64, pick func() int) {
	gap := time.Duration(m.rand.ExpFloat64() / rate * float64(time.Second))
	m.after(gap, func() {
		m.request(pick())
		m.poisson(rate, pick)
	})
}

func TestRefusalsWithinRate(t *testing.T) {
	const daemons = 11
	const runTime = 10 * time.Minute
	for name, pick := range map[string]func(*model) func() int{
		"spread": func(m *model) func() int { return func() int { return m.rand.IntN(daemons) } },
		"jumping": func(m *model) func() int {
			return func() int { return int(time.Duration(m.now)/time.Second) % daemons }
		},
	} {
		for _, limit := range []Limit{{Rate: 100, Burst: 100}, {Rate: 400, Burst: 800}, {Rate: 20, Burst: 40}} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				m := newModel(limit, daemons)
				m.poisson(0.9*limit.Rate, pick(m))
				m.run(runTime)
				total := m.admitted + m.refused
				t.Logf("rate %v burst %v: %d requests, %d refused, %d of them within rate, %d slice requests",
					limit.Rate, limit.Burst, total, m.refused, m.falseRefusals, m.requestsSent)
				is.True(float64(m.falseRefusals) < 0.001*float64(total))
			})
		}
	}
}

// TestOverloadedTeamGetsItsFullRate sends five times the rate through all daemons.
func TestOverloadedTeamGetsItsFullRate(t *testing.T) {
	is := is.New(t)
	teamLimit := Limit{Rate: 100, Burst: 100}
	m := newModel(teamLimit, 11)
	m.poisson(5*teamLimit.Rate, func() int { return m.rand.IntN(11) })
	m.run(time.Minute)
	limit := teamLimit.Rate*60 + teamLimit.Burst
	t.Logf("%d admitted of at most %v, %d slice requests", m.admitted, limit, m.requestsSent)
	is.True(float64(m.admitted) <= limit)
	is.True(float64(m.admitted) >= 0.98*limit)
}

// TestKeeperReplacementKeepsFalseRefusalsLow replaces the keeper every 30 s: no response for 1.5 s,
// then an empty bucket. The reference bucket is not replaced.
func TestKeeperReplacementKeepsFalseRefusalsLow(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0.3, 0.5, 0.7} {
		limit := Limit{Rate: 100, Burst: 100}
		m := newModel(limit, 11)
		m.poisson(share*limit.Rate, func() int { return m.rand.IntN(11) })
		var change func()
		change = func() {
			m.keeper = nil
			m.after(1500*time.Millisecond, func() {
				m.keeper = NewEmpty(m.now)
				m.keeper.Set(m.now, limit)
			})
			m.after(30*time.Second, change)
		}
		m.after(10*time.Second, change)
		m.run(10 * time.Minute)
		waiting := 0
		for _, s := range m.caches {
			waiting += len(s.waiting)
		}
		t.Logf("%v of the rate: %d admitted, %d refused, %d of them within rate, %d waiting; longest wait %v",
			share, m.admitted, m.refused, m.falseRefusals, waiting, m.longestWait)
		is.True(float64(m.falseRefusals) < 0.001*float64(m.admitted))
		is.True(m.longestWait < 1500*time.Millisecond+3*time.Second)
	}
}

// TestTeamOverRateDoesNotWaitForRecovery sends more than the rate while a keeper is lost.
// The requests are refused instead of waiting, except those that arrived while there
// was no keeper and those within the burst.
func TestTeamOverRateDoesNotWaitForRecovery(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{1.5, 5} {
		limit := Limit{Rate: 100, Burst: 50}
		m := newModel(limit, 11)
		m.poisson(share*limit.Rate, func() int { return m.rand.IntN(11) })
		var stillWaiting int
		m.after(10*time.Second, func() {
			m.keeper = nil
			m.after(1500*time.Millisecond, func() { m.keeper = NewEmpty(m.now) })
			m.after(4500*time.Millisecond, func() { // 3 s after the empty start, more than maxKeeperGap
				for _, s := range m.caches {
					for _, w := range s.waiting {
						is.True(m.now.Sub(w.arrivedAt) < time.Second)
						stillWaiting++
					}
				}
			})
		})
		m.run(30 * time.Second)
		t.Logf("%v of the rate: %d admitted, %d refused, %d waiting 3 s after the empty start, longest wait %v",
			share, m.admitted, m.refused, stillWaiting, m.longestWait)
	}
}

// TestHandoffKeepsFalseRefusalsLow hands off the bucket every 10 s, with 50 ms without a
// response each time. In the baseline, the next keeper starts empty.
func TestHandoffKeepsFalseRefusalsLow(t *testing.T) {
	is := is.New(t)
	teamLimit := Limit{Rate: 100, Burst: 100}
	const runTime = 10 * time.Minute
	run := func(next func(clock.Instant, Level) *Bucket) *model {
		m := newModel(teamLimit, 11)
		m.poisson(0.9*teamLimit.Rate, func() int { return m.rand.IntN(11) })
		var release func()
		release = func() {
			level := m.keeper.Level(m.now)
			m.keeper = nil
			m.after(50*time.Millisecond, func() {
				m.keeper = next(m.now, level)
				m.keeper.Set(m.now, teamLimit)
			})
			m.after(10*time.Second, release)
		}
		m.after(10*time.Second, release)
		m.run(runTime)
		return m
	}
	empty := run(func(now clock.Instant, _ Level) *Bucket { return NewEmpty(now) })
	moved := run(NewAtLevel)
	t.Logf("empty: %d admitted, %d refused within rate, longest wait %v", empty.admitted, empty.falseRefusals, empty.longestWait)
	t.Logf("moved: %d admitted, %d refused within rate, longest wait %v", moved.admitted, moved.falseRefusals, moved.longestWait)
	is.True(float64(moved.falseRefusals) < 0.001*float64(moved.admitted))
	is.True(moved.longestWait < time.Second)
	is.True(moved.longestWait < empty.longestWait)
	limit := teamLimit.Rate*runTime.Seconds() + teamLimit.Burst
	is.True(float64(moved.admitted) <= limit)
}

// TestLowRateTeamIsNeverRefused sends 0.3 requests per second for a rate of 1.
func TestLowRateTeamIsNeverRefused(t *testing.T) {
	is := is.New(t)
	m := newModel(Limit{Rate: 1, Burst: 2}, 11)
	m.poisson(0.3, func() int { return m.rand.IntN(11) })
	m.run(time.Hour)
	t.Logf("%d admitted, %d refused, %d of them within rate", m.admitted, m.refused, m.falseRefusals)
	is.Equal(m.falseRefusals, 0)
}

// BenchmarkLargeTeam measures the slice requests per second to the keeper of a team
// whose requests are spread over all daemons of a region or over eight of them.
func BenchmarkLargeTeam(b *testing.B) {
	const runTime = 3 * time.Second
	for _, row := range []struct {
		rate    float64
		daemons int
	}{{1_000, 1715}, {10_000, 1715}, {100_000, 1715}, {2_000, 1715}, {2_000, 8}} {
		b.Run(fmt.Sprintf("rate=%v/daemons=%d", row.rate, row.daemons), func(b *testing.B) {
			for b.Loop() {
				m := newModel(Limit{Rate: row.rate, Burst: 2 * row.rate}, row.daemons)
				m.poisson(0.9*row.rate, func() int { return m.rand.IntN(row.daemons) })
				m.run(runTime)
				b.ReportMetric(float64(m.requestsSent)/runTime.Seconds(), "questions/s")
				b.ReportMetric(float64(m.refused)/runTime.Seconds(), "refused/s")
			}
		})
	}
}
