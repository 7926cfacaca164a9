package rollout

import (
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Bounds of docs/design/README.md.
var pageBounds = Bounds{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}

// seedsDivisor is greater with the race detector, under which the simulation is many times
// slower: "make unit" runs all seeds without it.
var seedsDivisor = 1

// seeds returns the number of seeds of a test; ROLLOUT_SEEDS multiplies it.
func seeds(n int) uint64 {
	if factor, err := strconv.Atoi(os.Getenv("ROLLOUT_SEEDS")); err == nil {
		n *= factor
	}
	return uint64(n / seedsDivisor)
}

// decider is the controller or the naive implementation.
type decider interface {
	SetServers(clock.Instant, int, int)
	Add(clock.Instant, uint64, []Counts)
	Step(clock.Instant) Decision
}

// load is a service under load, its daemons and its versions.
type load struct {
	duration, lastStep time.Duration
	rate               float64       // requests a second
	old, new, daemons  int           // servers by version; daemons that send
	routes             []float64     // part of the requests
	base               float64       // part of the answers that are failures, both versions
	median, sigma      float64       // latency in ms; deviation of its logarithm
	noise              float64       // deviation of the logarithm of each version's mean latency, each 250 ms
	lost               float64       // part of the reports that are lost
	changes, split     time.Duration // at which another controller takes over, or gets half of the daemons; 0: never
	gone               time.Duration // at which the new version loses its servers; 0: never
	bothBad            time.Duration // at which both versions get bad; 0: never

	// The new version is bad from from until until (0: for ever).
	fail             float64 // part of its answers that are failures, beside base
	slower, slowPart float64 // factor on its latency; part of its answers that it applies to
	hangs            bool    // it never answers
	from, until      time.Duration
	overload         float64 // load of a server, as a part of the usual one, at which it is bad; 0: always
	route            int     // the only bad one; -1: all
}

// result is the outcome of a simulated roll-out.
type result struct {
	state            State
	at               time.Duration
	total, exposed   float64       // requests until the time limit
	worst            float64       // greatest exposure beyond the share before the last step
	fiftieth, noMore time.Duration // 50th bad answer; last request to the new version
	reason           string
	whole            time.Duration // for which the new version had the whole traffic before the end
}

func (r result) withinBound() bool {
	return r.exposed <= pageBounds.ExposureShare*r.total+pageBounds.ExposureSlack
}

func poisson(rnd *rand.Rand, mean float64) float64 {
	if mean > 30 {
		return max(0, math.Round(mean+math.Sqrt(mean)*rnd.NormFloat64()))
	}
	n, limit := 0.0, math.Exp(-mean)
	for p := rnd.Float64(); p > limit; p *= rnd.Float64() {
		n++
	}
	return n
}

func binomial(rnd *rand.Rand, n, p float64) float64 {
	switch {
	case p <= 0 || n == 0:
		return 0
	case p >= 1:
		return n
	case n*p*(1-p) > 20:
		return min(n, max(0, math.Round(n*p+math.Sqrt(n*p*(1-p))*rnd.NormFloat64())))
	case n > 100 && p < 0.1:
		return min(n, poisson(rnd, n*p))
	}
	k := 0.0
	for range int(n) {
		if rnd.Float64() < p {
			k++
		}
	}
	return k
}

// answers adds n answers to c: a part of them fail, and the latencies are lognormal.
func (l *load) answers(rnd *rand.Rand, c *Counts, n, fail, slower float64) {
	c.Sent += uint32(n)
	c.Requests += uint32(n)
	c.Failures += uint32(binomial(rnd, n, fail))
	log := math.Log(slower * l.median / 0.128) // of the median, in units of minLatency
	above := 1.0                               // probability of the bucket and all above
	for i := 0; i == 0 || n > 0; i++ {
		next, k := 0.5*math.Erfc((float64(i)*math.Ln2/2-log)/l.sigma/math.Sqrt2), n
		if i < Buckets-1 && next > 0 {
			k = binomial(rnd, n, 1-next/above)
		}
		c.Latencies[i] += uint32(k)
		n, above = n-k, next
	}
}

const tick = 50 * time.Millisecond

// play simulates a roll-out. Each daemon reports each 250 ms and sends until its next report
// with the share of the answer, which is valid for 1 s.
func (l *load) play(seed uint64, newDecider func(clock.Instant, Order, Bounds) decider) (r result) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	const start = clock.Instant(1e12)
	order := Order{Service: "s", To: "v2", Duration: l.duration, ID: 7}
	bounds := Bounds{pageBounds.ExposureShare, pageBounds.ExposureSlack, pageBounds.Rollback, l.lastStep}
	deciders := [2]decider{newDecider(start, order, bounds)}
	type daemon struct {
		answer        Decision
		until         time.Duration
		share, credit float64
		counts        []Counts // of the old version by route, then of the new one
	}
	daemons := make([]daemon, l.daemons)
	for i := range daemons {
		daemons[i] = daemon{credit: rnd.Float64(), counts: l.noCounts()}
	}
	var bad float64
	var decisions [2]Decision
	for i, t := 0, time.Duration(0); t < l.duration; i, t = i+1, t+tick {
		now := start.Add(t)
		order.Duration = l.duration - t
		for j, at := range []time.Duration{l.changes, l.split} {
			if t != 0 && t == at.Truncate(tick) {
				deciders[j] = newDecider(now, order, bounds)
			}
		}
		for j, d := range deciders {
			if d == nil || i%2 != 0 || decisions[j].State != Running {
				continue
			}
			if l.gone != 0 && t >= l.gone {
				l.new = 0
			}
			d.SetServers(now, l.old, l.new)
			decisions[j] = d.Step(now)
			if decisions[j].State != Running { // the status is written once, and read by the other one
				decisions[1-j] = decisions[j]
			}
		}
		decision := decisions[0]
		if i%2 == 0 && decision.State == Running && decision.Share == 1 {
			r.whole += 2 * tick
		}
		if r.reason == "" && decision.State != Running {
			r.at, r.state, r.reason = t, decision.State, decision.Reason
		}
		fail, slower := l.base, 1.0
		if l.bothBad != 0 && t >= l.bothBad {
			fail, slower = l.base+0.4, 4
		}
		for j := i % 5; j < l.daemons; j += 5 {
			dm := &daemons[j]
			share := dm.answer.Share
			if dm.answer.State == Running && t > dm.until {
				share = 0
			}
			if most := 0.25 / l.lastStep.Seconds(); most < 1 { // moving all shards takes lastStep
				share = min(max(share, dm.share-most), dm.share+most)
			}
			dm.share = share
			isBad := t >= l.from && (l.until == 0 || t < l.until) && (l.fail > 0 || l.slower > 0 || l.hangs)
			if l.overload > 0 && dm.answer.Servers > 0 {
				isBad = isBad && dm.share/float64(dm.answer.Servers) >= l.overload/float64(l.new)
			}
			slowOld := slower * math.Exp(l.noise*rnd.NormFloat64())
			slowNew := slower * math.Exp(l.noise*rnd.NormFloat64())
			for route, part := range l.routes {
				n := poisson(rnd, l.rate*part/4/float64(l.daemons))
				dm.credit += n * share
				toNew := min(n, math.Floor(dm.credit))
				dm.credit -= toNew
				r.total += n
				l.answers(rnd, &dm.counts[route], n-toNew, fail, slowOld)
				if toNew == 0 {
					continue
				}
				r.noMore = t
				if dm.answer.State == Running {
					r.exposed += toNew
				}
				c := &dm.counts[len(l.routes)+route]
				switch {
				case !isBad || l.route >= 0 && l.route != route:
					l.answers(rnd, c, toNew, fail, slowNew)
					continue
				case l.hangs:
					c.Sent += uint32(toNew)
					continue
				}
				hit := binomial(rnd, toNew, l.slowPart)
				before := c.Failures
				l.answers(rnd, c, toNew-hit, fail+l.fail, slowNew)
				l.answers(rnd, c, hit, fail+l.fail, slowNew*max(l.slower, 1))
				bad += float64(c.Failures-before) + hit*l.visible()
			}
			if bad >= 50 && r.fiftieth == 0 {
				r.fiftieth = t
			}
			if rnd.Float64() >= l.lost {
				to := j % 2
				if deciders[1] == nil {
					to = 0
				}
				deciders[to].Add(now, uint64(j), dm.counts)
				dm.counts = l.noCounts()
				dm.answer, dm.until = decisions[to], t+time.Second
			}
		}
		if decision.State == Running && decision.Share < 1 {
			r.worst = max(r.worst, r.exposed-pageBounds.ExposureShare*r.total)
		}
	}
	return r
}

func (l *load) noCounts() (counts []Counts) {
	for i := range 2 * len(l.routes) {
		counts = append(counts, Counts{Route: string(rune('a' + i%len(l.routes))), Version: []string{"v1", "v2"}[i/len(l.routes)]})
	}
	return counts
}

// visible returns the part of the slowed answers of a bad version that take longer than 1.5
// times the 99th percentile of the old one.
func (l *load) visible() float64 {
	return 0.5 * math.Erfc((2.33+math.Log(1.5/l.slower)/l.sigma)/math.Sqrt2)
}

func newController(now clock.Instant, o Order, b Bounds) decider { return NewController(now, o, b) }

// within returns a random time between two parts of the duration.
func (l *load) within(rnd *rand.Rand, from, to float64) time.Duration {
	return time.Duration((from + (to-from)*rnd.Float64()) * float64(l.duration))
}

func pick[T any](rnd *rand.Rand, of ...T) T { return of[rnd.IntN(len(of))] }

// randomLoad returns a good version under a random load.
func randomLoad(seed uint64) *load {
	rnd := rand.New(rand.NewPCG(seed, 2))
	l := &load{
		duration: pick[time.Duration](rnd, 8, 12, 12, 12, 20, 40) * time.Second,
		rate:     pick(rnd, 20.0, 50, 200, 1000, 20000, 100000),
		old:      pick(rnd, 2, 3, 4, 6, 20, 100),
		daemons:  pick(rnd, 1, 3, 8),
		routes:   pick(rnd, []float64{1}, []float64{0.6, 0.4}, []float64{0.5, 0.3, 0.2}, []float64{0.4, 0.2, 0.2, 0.15, 0.05}),
		base:     pick(rnd, 0, 0.001, 0.01, 0.03),
		median:   pick(rnd, 2.0, 10, 55),
		sigma:    pick(rnd, 0.2, 0.5, 1),
		noise:    pick(rnd, 0, 0.1),
		route:    -1,
	}
	l.new = l.old
	return l
}
