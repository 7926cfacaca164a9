package rollout

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// worsen makes the new version of l bad in a random way of a kind.
func worsen(l *load, kind string, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	if rnd.IntN(2) == 0 {
		l.fail = 0.3 + 0.7*rnd.Float64()
	} else {
		l.slower, l.slowPart = 3+5*rnd.Float64(), 0.5+0.5*rnd.Float64()
	}
	switch kind {
	case "late":
		l.from = l.within(rnd, 0.2, 0.7)
	case "load":
		l.overload = 0.8
	case "route":
		l.route = rnd.IntN(min(len(l.routes), 4))
	}
}

// decidable reports whether the requests that the bounds allow show the fault: 25 bad answers
// among them after the version has turned bad.
func (l *load) decidable() bool {
	since := max(l.changes, l.split)
	left := l.duration - since
	// A fault under load needs the usual load of a server for about 2 s.
	if l.overload > 0 && 2/float64(l.new) > pageBounds.ExposureShare*left.Seconds() {
		return false
	}
	part := l.fail + l.slowPart*l.visible()
	if l.route >= 0 {
		part *= l.routes[l.route]
	}
	if l.overload > 0 {
		part /= 3 // about a third of the exposure is under the usual load
	}
	// The old version needs half of the requests for the comparison.
	allowed := min(pageBounds.ExposureShare*l.rate*left.Seconds()+pageBounds.ExposureSlack, l.rate*left.Seconds()/2)
	return part*allowed*float64(l.duration-max(l.from, since))/float64(left) >= 25
}

// variants are circumstances under which good versions are completed and bad ones rolled back.
var variants = map[string]func(l *load, rnd *rand.Rand){
	"ordinary":           func(*load, *rand.Rand) {},
	"one server":         func(l *load, _ *rand.Rand) { l.old, l.new = 1, 1 },
	"few requests":       func(l *load, rnd *rand.Rand) { l.rate = pick(rnd, 4.0, 8, 12) },
	"lost reports":       func(l *load, _ *rand.Rand) { l.lost = 0.3 },
	"another controller": func(l *load, rnd *rand.Rand) { l.changes = l.within(rnd, 0.1, 0.5) },
	"two controllers":    func(l *load, rnd *rand.Rand) { l.daemons, l.split = 8, l.within(rnd, 0.1, 0.5) },
	"sharded":            func(l *load, _ *rand.Rand) { l.duration, l.lastStep = 30*time.Second, 3*time.Second },
}

// variantsGoodOnly are faults that are no reason for a rollback.
var variantsGoodOnly = map[string]func(l *load, rnd *rand.Rand){
	"both bad": func(l *load, rnd *rand.Rand) { l.bothBad = l.within(rnd, 0, 1) },
	"cold":     func(l *load, _ *rand.Rand) { l.slower, l.slowPart, l.until = 3, 1, 1500*time.Millisecond },
	"burst of failures": func(l *load, _ *rand.Rand) {
		l.rate, l.fail, l.from, l.until = 20000, 1, 3*time.Second, 3250*time.Millisecond
	},
}

// Guards against a bad version that is completed, that gets more requests than the bound, or
// that gets requests for longer than Rollback after its 50th bad answer.
func TestBadVersionsAreRolledBackWithinTheBounds(t *testing.T) {
	for variant, change := range variants {
		for _, kind := range []string{"at once", "late", "load", "route"} {
			n := seeds(map[bool]int{true: 300, false: 30}[variant == "ordinary"])
			t.Run(variant+"/"+kind, func(t *testing.T) {
				t.Parallel()
				var worst float64
				var longest time.Duration
				few, fewRolledBack := 0, 0
				for seed := range n {
					l := randomLoad(seed)
					change(l, rand.New(rand.NewPCG(seed, 4)))
					worsen(l, kind, seed)
					r := l.play(seed, newController)
					switch {
					case r.worst > pageBounds.ExposureSlack:
						t.Errorf("seed %d: exposure before the last step: %+v: %+v", seed, *l, r)
					case !l.decidable(): // whether it is rolled back depends on chance
						few++
						if r.state == RolledBack {
							fewRolledBack++
						}
					case r.state != RolledBack, !r.withinBound(),
						r.fiftieth > 0 && r.noMore-r.fiftieth > pageBounds.Rollback:
						t.Errorf("seed %d: %+v: %+v", seed, *l, r)
					default:
						worst = max(worst, r.exposed/(pageBounds.ExposureShare*r.total+pageBounds.ExposureSlack))
						if r.fiftieth > 0 {
							longest = max(longest, r.noMore-r.fiftieth)
						}
					}
				}
				t.Logf("%d rolled back, greatest exposure %.2f of the bound, longest rollback %v; of %d with too few requests %d rolled back",
					int(n)-few, worst, longest, few, fewRolledBack)
			})
		}
	}
}

// Guards against verdicts from noise and from faults that are not the new version's, and
// against roll-outs that do not end in time.
func TestGoodVersionsAreCompleted(t *testing.T) {
	cases := maps.Clone(variants)
	maps.Copy(cases, variantsGoodOnly)
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, rolledBack := seeds(100), 0
			for seed := range n {
				l := randomLoad(seed)
				change(l, rand.New(rand.NewPCG(seed, 4)))
				r := l.play(seed, newController)
				if r.worst > pageBounds.ExposureSlack {
					t.Errorf("seed %d: exposure before the last step: %+v: %+v", seed, *l, r)
				}
				// Of two controllers neither knows of the daemons of the other.
				if r.state != Completed {
					rolledBack++
					t.Logf("seed %d: %+v: %+v", seed, *l, r)
				} else if l.split == 0 && r.whole < max(l.lastStep, time.Second/4) {
					t.Errorf("seed %d: completed before all daemons know it: %+v", seed, r)
				}
			}
			t.Logf("%d of %d rolled back", rolledBack, n)
			if rolledBack > max(1, int(n)/100) {
				t.Fail()
			}
		})
	}
}

// Guards against roll-outs without an end, or with one after the time limit, where there is
// nothing to decide from, and against traffic for a version that is not known to answer.
func TestRollOutWithoutEvidenceIsRolledBackBeforeTheLimit(t *testing.T) {
	is := is.New(t)
	base := load{duration: 12 * time.Second, rate: 1000, old: 3, new: 3, daemons: 3, routes: []float64{1}, median: 5, sigma: 0.5, route: -1}
	for name, change := range map[string]func(l *load){
		"no servers":   func(l *load) { l.new = 0 },
		"servers lost": func(l *load) { l.gone = 5 * time.Second },
		"lost late":    func(l *load) { l.gone = 10500 * time.Millisecond },
		"no reports":   func(l *load) { l.lost = 1 },
		"no answers":   func(l *load) { l.hangs = true },
		"no requests":  func(l *load) { l.rate = 1e-9 },
	} {
		l := base
		change(&l)
		r := l.play(1, newController)
		t.Logf("%s: %+v", name, r)
		is.Equal(r.state, RolledBack)
		is.True(r.at < l.duration && r.withinBound())
		if name == "no servers" {
			is.True(r.at <= l.duration/4+100*time.Millisecond && r.exposed == 0)
		}
	}
}

// Guards against thresholds, steps or counters that fit short roll-outs only.
func TestRollOutOfAnHour(t *testing.T) {
	t.Parallel()
	for _, fail := range []float64{0, 0.3} {
		is := is.New(t)
		l := randomLoad(1)
		l.duration, l.rate, l.daemons, l.fail, l.from = time.Hour, 1000, 1, fail, 50*time.Minute
		r := l.play(1, newController)
		is.Equal(r.state == Completed, fail == 0)
		is.True(fail == 0 || r.noMore-l.from <= 2*pageBounds.Rollback)
		is.True(r.worst <= 0)
	}
}

// naive is the reference: fixed steps in time and one threshold on the failures.
type naive struct {
	start             clock.Instant
	order             Order
	servers           int
	answers, failures float64
	state             State
}

func newNaive(now clock.Instant, o Order, _ Bounds) decider { return &naive{start: now, order: o} }

func (n *naive) SetServers(_ clock.Instant, _, new int) { n.servers = new }

func (n *naive) Add(_ clock.Instant, _ uint64, counts []Counts) {
	for _, c := range counts {
		if c.Version == n.order.To {
			n.answers += float64(c.Requests)
			n.failures += float64(c.Failures)
		}
	}
}

func (n *naive) Step(now clock.Instant) Decision {
	step := int(5 * now.Sub(n.start) / n.order.Duration)
	switch {
	case n.state == RolledBack, n.answers >= 20 && n.failures > 0.1*n.answers:
		n.state = RolledBack
		return Decision{State: RolledBack}
	case step == 4:
		n.state = Completed
		return Decision{State: Completed, Share: 1, Servers: n.servers}
	}
	return Decision{Share: []float64{0.05, 0.2, 0.5, 1}[step], Servers: n.servers}
}

// Guards against a controller that does worse than the naive one on any kind of version. The
// log shows what both do.
func TestControllerAgainstNaive(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"good", "both bad", "at once", "late", "load", "route"} {
		var right, beyond [2]int
		n := 0
		for seed := range seeds(100) {
			l := randomLoad(seed)
			want := RolledBack
			if change, ok := variantsGoodOnly[kind]; ok {
				want = Completed
				change(l, rand.New(rand.NewPCG(seed, 4)))
			} else if kind == "good" {
				want = Completed
			} else if worsen(l, kind, seed); !l.decidable() {
				continue
			}
			n++
			for i, newDecider := range []func(clock.Instant, Order, Bounds) decider{newController, newNaive} {
				r := l.play(seed, newDecider)
				if r.state == want {
					right[i]++
				}
				if want == RolledBack && !r.withinBound() {
					beyond[i]++
				}
			}
		}
		t.Logf("%-8s of %d: controller %d right, %d beyond the bound; naive %d right, %d beyond it",
			kind, n, right[0], beyond[0], right[1], beyond[1])
		if right[0] < right[1] || beyond[0] > beyond[1] {
			t.Errorf("%s: the naive implementation does better", kind)
		}
	}
}
