package rollout

import (
	"math"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// kind is a way in which an answer is bad.
type kind uint8

const (
	failed     kind = iota // Counts.Failures
	slow                   // above the 90th percentile of the old version by slowBuckets
	verySlow               // above its 99th percentile by as much
	kindsCount = 3
)

func (k kind) String() string { return [...]string{"failures", "slow answers", "very slow answers"}[k] }

// quantiles are the quantiles of the old version's latencies from which the limits of the
// kinds slow and verySlow are derived. The 90th percentile shows a version all of whose
// answers are slow within few answers; the 99th shows one with some slow answers where the
// latencies of the old version are spread widely.
var quantiles = [kindsCount]float64{slow: 0.9, verySlow: 0.99}

// slowBuckets is the distance in buckets from the bucket of a quantile to the first bucket
// that counts as slow: 1.4 to 2 times the quantile. Smaller differences occur between equal
// servers on unequal instances.
const slowBuckets = 2

// ratios are the alternatives against which the hypothesis of equal versions is tested: the
// new version has bad answers that many times as often. The smallest one shows a moderate
// difference within many answers, the largest one a great difference within few.
var ratios = [3]float64{3, 6, 15}

// margins are the parts of the answers by which the new version may be worse than the old
// one: equal servers on unequal instances differ by as much for some windows, and with many
// requests any difference is significant.
var margins = [kindsCount]float64{failed: 0.005, slow: 0.03, verySlow: 0.015}

const (
	// windowMin is the shortest window in which versions are compared: the interval between
	// reports. A fault of both versions that begins or ends within a window distorts the
	// comparison by at most this time.
	windowMin = 250 * time.Millisecond
	// windowMax is the longest one: a route with few requests is compared at least this often.
	windowMax = 6 * time.Second
	// windowNew and windowOld are the answers of each version at which a window is long
	// enough. A window with answers of one version only would show nothing.
	windowNew, windowOld = 5, 10
	// windowIdle is the length of a window without answers of the new version.
	windowIdle = time.Second
	// forgetAnswers is the number of answers without an excess of bad ones after which a third
	// of the evidence is left: a version with one bad answer in a hundred is still detected.
	forgetAnswers = 300
	// enoughHistory is the number of latencies of the old version on a route from which its
	// limits are derived. Below, those of all routes are used.
	enoughHistory = 20
	// doubt is the part of a threshold from which on the new version, when it has almost the
	// whole traffic, is compared also with earlier answers of the old one. Without earlier
	// evidence, a fault of both versions that begins in the last step would count against it.
	doubt = 0.35
	// historyHalf is the time in which the latencies of the old version lose half of their
	// weight.
	historyHalf = 4 * time.Second
	// maxRoutes is the maximum number of routes that are compared separately. Further routes
	// are compared together.
	maxRoutes = 256
)

// sums counts the answers of one version and how many of them are bad.
type sums struct {
	n   float64
	bad [kindsCount]float64
}

func (s *sums) add(o sums) {
	s.n += o.n
	for k := range s.bad {
		s.bad[k] += o.bad[k]
	}
}

// age multiplies all counts by f.
func (s *sums) age(f float64) {
	s.n *= f
	for k := range s.bad {
		s.bad[k] *= f
	}
}

// test accumulates the evidence of one kind as logarithms of likelihood ratios.
type test struct {
	recent [len(ratios)]float64 // since its last zero (CUSUM): shows a version that turns bad late
	whole  [len(ratios)]float64 // since the start: decides on few answers
}

// add returns the sums after the open window of r. rate is the part of a threshold that a sum
// may gain in a second: a short burst of bad answers, such as those of a crashed server, is no
// verdict about a version. Where the window does not speak against the new version, earlier
// evidence against it ages, so that a burst and a cold start are forgotten.
func (t test) add(now clock.Instant, r *route, k kind, rate float64, th thresholds) test {
	rate *= now.Sub(r.opened).Seconds()
	badNew := max(0, r.new.bad[k]-margins[k]*r.new.n)
	for i, ratio := range ratios {
		old := r.old
		if r.new.n > 4*old.n && t.recent[i] >= doubt*th.recent {
			old.add(r.before)
		}
		if r.new.n == 0 || old.n == 0 {
			continue
		}
		bad := old.bad[k] + badNew
		p := r.new.n / (r.new.n + old.n)
		gain := badNew*math.Log(ratio) - bad*math.Log(ratio*p+1-p)
		if gain <= 0 {
			keep := math.Exp(-r.new.n / forgetAnswers)
			t.recent[i] *= keep
			t.whole[i] = min(t.whole[i], t.whole[i]*keep)
		}
		t.recent[i] = max(0, t.recent[i]+min(gain, rate*th.recent))
		t.whole[i] += min(gain, rate*th.whole)
	}
	return t
}

// route is the evidence of one route.
type route struct {
	opened   clock.Instant // start of the open window
	old, new sums          // of the open window
	before   sums          // of the old version in closed windows, aged
	tests    [kindsCount]test
	history  [Buckets]float64 // latencies of the old version, aged
	known    float64          // their number
	latest   Histogram        // of the old version in the open window
	limits   [kindsCount]int  // first bucket that counts as slow; Buckets while unknown
}

// evidence compares the versions per route and over all routes.
//
// In each window of a route the bad answers of both versions together are given. If the
// versions are equal, each of them is one of the new version with the probability of its
// share of the answers; if the new version is worse by a ratio, with a greater one. The
// logarithms of the likelihood ratios of these hypotheses are summed over the windows. A
// fault of both versions makes bad answers more frequent, but does not change whose they are,
// and so the sum does not grow. Under equal versions the likelihood ratio is a martingale, so
// that it exceeds x with a probability of at most 1/x, however often it is evaluated.
type evidence struct {
	routes map[string]*route
	// all counts the answers of all routes together. Requests are divided between the
	// versions regardless of their route, so that both have the same routes.
	all     *route
	windows float64 // of windowMin in the whole duration
}

// newEvidence returns no evidence, for a roll-out that takes duration.
func newEvidence(now clock.Instant, duration time.Duration) evidence {
	return evidence{routes: map[string]*route{}, all: newRoute(now), windows: float64(duration / windowMin)}
}

func newRoute(now clock.Instant) *route {
	return &route{opened: now, limits: [kindsCount]int{Buckets, Buckets, Buckets}}
}

// of returns the evidence of a route.
func (e *evidence) of(name string, now clock.Instant) *route {
	r := e.routes[name]
	if r == nil && len(e.routes) >= maxRoutes {
		name = ""
		r = e.routes[name]
	}
	if r == nil {
		r = newRoute(now)
		e.routes[name] = r
	}
	return r
}

// add adds the counts of a report.
func (e *evidence) add(now clock.Instant, c *Counts, isNew bool) {
	r := e.of(c.Route, now)
	s := sums{n: float64(c.Requests)}
	s.bad[failed] = float64(min(c.Failures, c.Requests))
	limits := &r.limits
	if r.known < enoughHistory {
		limits = &e.all.limits
	}
	for k := slow; k < kindsCount; k++ {
		for _, n := range c.Latencies[limits[k]:] {
			s.bad[k] += float64(n)
		}
		s.bad[k] = min(s.bad[k], s.n)
	}
	if isNew {
		r.new.add(s)
		e.all.new.add(s)
		return
	}
	r.old.add(s)
	e.all.old.add(s)
	r.latest.Merge(c.Latencies)
	e.all.latest.Merge(c.Latencies)
}

// thresholds are sums at which the versions count as different, and as probably different.
type thresholds struct {
	recent, whole float64
}

// thresholds returns the thresholds of one of tests tests. A sum that is set to zero whenever
// it is negative may exceed its threshold anew from each window on, so that the threshold
// grows with their number. A good version exceeds any of them in fewer than one of 100
// roll-outs; the tests measure how many.
func (e *evidence) thresholds(tests int) thresholds {
	// Half of the probability of a wrong verdict is for the test of all routes together.
	n := 2 * float64(max(tests, 1))
	return thresholds{recent: math.Log(100 * n * (1 + e.windows)), whole: math.Log(10 * n)}
}

// finding is the strongest evidence against the new version.
type finding struct {
	recent, whole float64 // as a part of the threshold and of the final threshold
	text          string
}

// gainLimits are the greatest gains in a second by kind, as parts of the threshold.
type gainLimits [kindsCount]float64

// find evaluates all evidence, that of the open windows included.
func (e *evidence) find(now clock.Instant, limits gainLimits) finding {
	var best finding
	consider := func(name string, r *route, th thresholds) {
		for k := range r.tests {
			t := r.tests[k].add(now, r, kind(k), limits[k], th)
			for i := range ratios {
				if recent := t.recent[i] / th.recent; recent > best.recent {
					best.recent, best.text = recent, kind(k).String()+" on "+name
				}
				best.whole = max(best.whole, t.whole[i]/th.whole)
			}
		}
	}
	consider("all routes", e.all, e.thresholds(1))
	th := e.thresholds(len(e.routes))
	for name, r := range e.routes {
		consider("route "+name, r, th)
	}
	return best
}

// closeWindows closes the windows that are long enough and adds them to the sums. force closes
// all of them: the share changes, and a window over several shares would ascribe a fault of
// both versions that begins with the greater share to the new one.
func (e *evidence) closeWindows(now clock.Instant, force bool, limits gainLimits) {
	e.all.close(now, force, limits, e.thresholds(1))
	th := e.thresholds(len(e.routes))
	for _, r := range e.routes {
		r.close(now, force, limits, th)
	}
}

func (r *route) close(now clock.Instant, force bool, limits gainLimits, th thresholds) {
	age := now.Sub(r.opened)
	enough := r.new.n >= windowNew && r.old.n >= windowOld
	if r.latest.Total() > 0 && r.limits[slow] == Buckets { // the limits are not known yet
		enough = age >= windowIdle
	}
	if !force && (age < windowMin || !enough && age < windowMax && (r.new.n > 0 || age < windowIdle)) {
		return
	}
	for k := range r.tests {
		r.tests[k] = r.tests[k].add(now, r, kind(k), limits[k], th)
	}
	if r.old.n > 0 {
		decay := math.Exp2(-age.Seconds() / historyHalf.Seconds())
		r.before.age(decay)
		r.before.add(r.old)
		for i, n := range r.latest {
			r.history[i] = r.history[i]*decay + float64(n)
		}
		r.setLimits()
	}
	r.opened, r.old, r.new, r.latest = now, sums{}, sums{}, Histogram{}
}

// longest returns the longest time that answers of the old version take, one of 100 excepted,
// on the slowest route.
func (e *evidence) longest() time.Duration {
	var longest time.Duration
	for _, r := range e.routes {
		if i := r.limits[verySlow] - slowBuckets; r.limits[verySlow] < Buckets {
			longest = max(longest, upperEdge(i))
		}
	}
	return longest
}

// setLimits derives the limits of the next window from the latencies of the old version.
func (r *route) setLimits() {
	r.known = 0
	for _, n := range r.history {
		r.known += n
	}
	for k := slow; k < kindsCount; k++ {
		rest := r.known * (1 - quantiles[k])
		i := Buckets - 1
		for ; i > 0 && r.history[i] <= rest; i-- {
			rest -= r.history[i]
		}
		r.limits[k] = min(i+slowBuckets, Buckets)
	}
}
