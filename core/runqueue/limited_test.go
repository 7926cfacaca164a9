package runqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// limitedLoad is the load on a server that names a limit: callers of two classes and
// three teams, of which one asks for most.
type limitedLoad struct {
	queue   *Queue
	rng     *rand.Rand
	now     clock.Instant
	starts  []clock.Instant
	running map[*Ticket]clock.Instant // end of each run
	asked   map[string]int            // by class and by team
	started map[string]int            // by class and by team
	refused []Refusal
	slowest time.Duration // longest wait before a refusal
	waited  time.Duration // sum of these waits
	arrived map[*Ticket]clock.Instant
}

func newLimitedLoad(slots int) *limitedLoad {
	l := &limitedLoad{queue: New(), rng: rand.New(rand.NewPCG(1, 2)), now: clock.Instant(time.Second),
		running: map[*Ticket]clock.Instant{}, asked: map[string]int{}, started: map[string]int{}, arrived: map[*Ticket]clock.Instant{}}
	l.queue.SetSlots(slots)
	return l
}

// play submits perS requests a second for a while. While limit is not 0, each response
// names it.
func (l *limitedLoad) play(length time.Duration, perS, limit float64) {
	const step = 5 * time.Millisecond
	for end := l.now.Add(length); l.now < end; l.now = l.now.Add(step) {
		for t, until := range l.running {
			if l.now >= until {
				delete(l.running, t)
				l.queue.Done(l.now, t, true)
				l.queue.ObserveLimit(l.now, t.started, limit, limit > 0)
			}
		}
		if l.rng.Float64() < perS*step.Seconds() {
			l.submit()
		}
		started, refused := l.queue.Dispatch(l.now)
		for _, t := range started {
			l.running[t] = l.now.Add(60 * time.Millisecond)
			l.starts = append(l.starts, l.now)
			l.started[t.Class]++
			l.started[t.Team]++
		}
		l.refuse(refused...)
	}
}

func (l *limitedLoad) submit() {
	t := &Ticket{Class: "order", Team: "large", Priority: 1, Target: l.now.Add(250 * time.Millisecond), Deadline: l.now.Add(600 * time.Millisecond)}
	if l.rng.Float64() < 0.7 {
		t.Class, t.Priority = "lookup", 2
	}
	switch p := l.rng.Float64(); {
	case p < 0.1:
		t.Team = "small"
	case p < 0.3:
		t.Team = "middle"
	}
	l.asked[t.Class]++
	l.asked[t.Team]++
	l.arrived[t] = l.now
	if r := l.queue.Submit(l.now, t); r != nil {
		l.refuse(*r)
	}
}

func (l *limitedLoad) refuse(refused ...Refusal) {
	for _, r := range refused {
		l.waited += l.now.Sub(l.arrived[r.Ticket])
		l.slowest = max(l.slowest, l.now.Sub(l.arrived[r.Ticket]))
		l.refused = append(l.refused, r)
	}
}

// meanWait returns the mean wait before a refusal.
func (l *limitedLoad) meanWait() time.Duration {
	return l.waited / time.Duration(max(len(l.refused), 1))
}

// served returns the share of the requests of a class or team that ran.
func (l *limitedLoad) served(name string) float64 {
	return float64(l.started[name]) / float64(l.asked[name])
}

// busiest returns the largest number of starts within a window.
func busiest(starts []clock.Instant, window time.Duration) int {
	best, first := 0, 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

// A server names a limit far below what its callers ask. It must not get more than that
// in any 4 s, and the limit is used.
func TestLimitedServerGetsMoreThanItsLimit(t *testing.T) {
	const perS = 12.0
	is := is.New(t)
	l := newLimitedLoad(6)
	l.play(5*time.Second, 40, 0)
	before := len(l.starts)
	l.play(20*time.Second, 40, perS)
	after := slices.DeleteFunc(l.starts[before:], func(at clock.Instant) bool { return at < clock.Instant(7*time.Second) })
	is.True(busiest(after, 4*time.Second) <= int(4*perS)+3)
	is.True(float64(len(after)) > 0.9*19*perS)
	t.Logf("refused after %v at most, %v in the mean", l.slowest, l.meanWait())
	is.True(l.slowest <= 310*time.Millisecond) // half of the callers' timeout, and two steps
	is.True(l.meanWait() < 60*time.Millisecond)
	l.play(5*time.Second, 40, 0)
	is.True(busiest(l.starts, time.Second) > 30) // the limit was lifted
}

// Under a limit, an urgent class or a large team must not take all of it.
func TestLimitStarvesAClassOrTeam(t *testing.T) {
	is := is.New(t)
	l := newLimitedLoad(6)
	l.queue.ObserveLimit(l.now, l.now, 10, true)
	l.play(60*time.Second, 40, 10)
	t.Logf("served: order %.2f, lookup %.2f; small %.2f, middle %.2f, large %.2f",
		l.served("order"), l.served("lookup"), l.served("small"), l.served("middle"), l.served("large"))
	all := float64(len(l.starts)) / float64(l.asked["order"]+l.asked["lookup"])
	is.True(l.served("lookup") > 0.4*all)
	is.True(l.served("order") > l.served("lookup")) // the more urgent class gets more
	is.True(l.served("small") >= l.served("large"))
	is.True(l.served("large") > 0.25*all)
}

// Callers that come back when they are told must not exceed the limit together.
func TestRetryAfterExceedsTheLimit(t *testing.T) {
	const perS = 10.0
	is := is.New(t)
	l := newLimitedLoad(6)
	l.queue.ObserveLimit(l.now, l.now, perS, true)
	l.play(10*time.Second, 15, perS)
	var returns []clock.Instant
	for _, r := range l.refused {
		returns = append(returns, l.arrived[r.Ticket].Add(r.RetryAfter))
		is.True(r.RetryAfter <= maxRetryAfter)
	}
	is.True(len(returns) > 20)
	slices.Sort(returns)
	is.True(busiest(returns, time.Second) <= int(perS)+3)
}

// A process that starts beside a server does not know whether it names a limit.
func TestRestartSendsBeforeTheLimitIsKnown(t *testing.T) {
	is := is.New(t)
	l := newLimitedLoad(6)
	l.queue.Restart(l.now)
	l.play(300*time.Millisecond, 60, 5)
	is.True(len(l.starts) <= 3)
	is.Equal(l.queue.LimitPerS(), 5.0)
}
