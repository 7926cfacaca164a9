package runqueue

import (
	"cmp"
	"math"
	"strconv"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/link"
	"github.com/sesamemoor/sesamemoor/core/pace"
)

const (
	// fairWindow is the time constant over which the starts of teams and classes are
	// averaged while the server names a limit.
	fairWindow = 4 * time.Second
	// minClassShare is the share of the requests of a class that are started, relative to
	// that of all requests, below which the class goes first.
	minClassShare = 0.5
	// starvedRank is the rank of the tickets of such a class. It is below all others.
	starvedRank = math.MinInt64
	// maxTracked bounds the number of teams and of classes with averages; a full table is
	// cleared.
	maxTracked = 4096
)

// limited is the part of a Queue that keeps the rate which the server names, and divides it
// among teams and classes. Teams of one rank are served in the order of what they got
// lately, so that the smallest is served first.
type limited struct {
	limit   pace.Limit
	returns pace.Returns // of callers that were refused for that rate

	asked   map[string]*decaying // arrivals by class
	started map[string]*decaying // starts by class
	byTeam  map[string]*decaying // starts by team
	asks    decaying             // arrivals of all classes
	runs    decaying             // starts of all classes

	nested rankCounts // nested tickets by rank, with and without a limit
}

// rankCounts counts the arrivals and starts of the tickets of each rank.
type rankCounts struct {
	asked, started map[string]*decaying
	asks, runs     decaying
}

func (k *rankCounts) record(table *map[string]*decaying, all *decaying, now clock.Instant, rank int64) {
	if *table == nil {
		*table = map[string]*decaying{}
	}
	count(*table, now, strconv.FormatInt(rank, 10))
	all.add(now)
}

// starved reports whether the share of a rank's tickets that are started is below
// minClassShare of that of all.
func (k *rankCounts) starved(now clock.Instant, rank int64) bool {
	name := strconv.FormatInt(rank, 10)
	return k.started[name].now(now)*k.asks.now(now) < minClassShare*k.runs.now(now)*k.asked[name].now(now)
}

func newLimited() limited {
	return limited{asked: map[string]*decaying{}, started: map[string]*decaying{}, byTeam: map[string]*decaying{}}
}

// decaying is a count that decays with fairWindow.
type decaying struct {
	value float64
	at    clock.Instant
}

func (d *decaying) now(now clock.Instant) float64 {
	if d == nil {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(fairWindow))
}

func (d *decaying) add(now clock.Instant) {
	d.value = d.now(now) + 1
	d.at = now
}

// count adds one to the count of a name.
func count(table map[string]*decaying, now clock.Instant, name string) {
	d, ok := table[name]
	if !ok {
		if len(table) >= maxTracked {
			clear(table)
		}
		d = &decaying{}
		table[name] = d
	}
	d.add(now)
}

// ObserveLimit applies a response, see pace.Limit.Observe.
func (q *Queue) ObserveLimit(now, sent clock.Instant, perS float64, named bool) (changed bool) {
	return q.limit.Observe(now, sent, perS, named)
}

// LearnLimit applies a limit that another daemon passed on, see pace.Limit.Learn.
func (q *Queue) LearnLimit(now clock.Instant, perS float64) (changed bool) {
	return q.limit.Learn(now, perS)
}

// Restart starts anew with a server that this process has not sent requests to.
func (q *Queue) Restart(now clock.Instant) {
	q.limited = newLimited()
	q.limit.AwaitResponse(now)
}

// LimitPerS returns the limit that the server names, in requests per second, or 0.
func (q *Queue) LimitPerS() float64 { return q.limit.PerS() }

// SlotTime returns the time for which a run occupies a slot, see pace.Limit.SlotTime.
func (q *Queue) SlotTime(took time.Duration) time.Duration { return q.limit.SlotTime(took, q.slots) }

// NextStart returns the time until the limit allows a request after those that wait, or 0.
func (q *Queue) NextStart(now clock.Instant) time.Duration {
	return q.limit.Next(now, len(q.waiting)).Sub(now)
}

// mayStartLimited reports whether the limit allows one more start. While it is not known
// whether the server has a limit, one request runs at a time.
func (q *Queue) mayStartLimited(now clock.Instant) bool {
	return q.limitDelay(now) == 0
}

// limitDelay returns the time until the limit allows one more start.
func (q *Queue) limitDelay(now clock.Instant) time.Duration {
	return q.limit.Delay(now, len(q.running))
}

// limitedRetryAfter returns the delay after which the limit has room for a refused request,
// or 0 without a limit.
func (q *Queue) limitedRetryAfter(now clock.Instant) time.Duration {
	perS := q.limit.PerS()
	if perS == 0 {
		return 0
	}
	return q.returns.Next(now, q.limit.Next(now, len(q.waiting)), perS)
}

// recordAsked counts an arrival.
func (q *Queue) recordAsked(now clock.Instant, t *Ticket) {
	if t.Nested {
		q.nested.record(&q.nested.asked, &q.nested.asks, now, rank(t))
	}
	if q.limit.PerS() == 0 {
		return
	}
	count(q.asked, now, t.Class)
	q.asks.add(now)
}

// recordStart counts a start.
func (q *Queue) recordStart(now clock.Instant, t *Ticket) {
	if t.Nested {
		q.nested.record(&q.nested.started, &q.nested.runs, now, rank(t))
	}
	if q.limit.PerS() == 0 {
		return
	}
	count(q.started, now, t.Class)
	count(q.byTeam, now, t.Team)
	q.runs.add(now)
}

// rank returns the rank of a ticket, which is starvedRank if its class got much less
// than the others under the server's limit, and that before all nested tickets if its rank got
// much less than theirs.
func (q *Queue) rank(now clock.Instant, t *Ticket) int64 {
	if t.Nested && q.limit.PerS() == 0 && q.nested.starved(now, rank(t)) {
		return link.Rank(true, 0) - 1
	}
	if q.starved(now, t.Class) {
		return starvedRank
	}
	return rank(t)
}

// starved reports whether the share of a class's requests that are started is below
// minClassShare of that of all requests.
func (q *Queue) starved(now clock.Instant, class string) bool {
	if q.limit.PerS() == 0 {
		return false
	}
	share := q.started[class].now(now) * q.asks.now(now)
	all := q.runs.now(now) * q.asked[class].now(now)
	return share < minClassShare*all
}

// compareTeams orders tickets of one rank by what their teams got lately under the
// server's limit.
func (q *Queue) compareTeams(now clock.Instant, a, b *Ticket) int {
	if q.limit.PerS() == 0 || a.Team == b.Team {
		return 0
	}
	return cmp.Compare(q.byTeam[a.Team].now(now), q.byTeam[b.Team].now(now))
}
