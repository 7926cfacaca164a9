package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// reportTime is the time until a decision is known at the daemons and its effects are
	// known here, with reports each 250 ms.
	reportTime = 500 * time.Millisecond
	// detectTime is the time in which a version that is plainly bad is detected in a late
	// step: the time to a verdict, and that until the daemons know the share.
	detectTime = time.Second

	// The parts of the exposure bounds that are used before the late steps, and with them. The
	// rest covers what the new version gets between the first bad answers and a rollback. Half
	// of the slack is for a second controller, that takes over or works at the same time.
	earlyShare, earlySlack = 0.45, 0.4
	lateShare, lateSlack   = 0.9, 0.5

	// wantedRate is the number of requests a second to the new version that shows a plainly
	// bad version, also on one route, within a few seconds.
	wantedRate = 40
	// lateAnswers is the number of answers in a late step that shows a bad version where requests
	// are few.
	lateAnswers = 80
	// minEarly and maxEarly bound the first share. The upper one leaves the old version
	// enough requests for a comparison.
	minEarly, maxEarly = 0.02, 0.5
	// firstShare bounds the share in the first second, when the rate is not yet known.
	firstShare = 0.04
	// firstLate is the smallest share of a late step, if servers are many; maxLate is the
	// largest one before the whole, and maxSingle that of the only server: the old version
	// keeps enough requests for a comparison.
	firstLate, maxLate, maxSingle = 0.12, 0.5, 0.8

	// minAnswers is the number of answers of the new version without which it is not
	// completed.
	minAnswers = 6
	// planAnswers is the number without which no greater share is planned.
	planAnswers = 3
	// suspicion is the part of the threshold at which the share does not grow any more.
	suspicion = 0.6
	// endSuspicion is that at which it is not completed after the last step. A fault of both
	// versions that begins while the traffic moves may reach suspicion.
	endSuspicion = 0.8
	// lastSuspicion is that at which the last step waits for further reports while it can.
	lastSuspicion = 0.3
	// pulseSuspicion is that at which a pulse is extended or repeated.
	pulseSuspicion = 0.25
	// rateDecay ages the highest rate seen, each quarter of a second: by half in 3.4 s. The
	// shares are derived from a recent high rate, so that a gap in the reports does not raise
	// them.
	rateDecay = 0.95
	// minChange is the change of a share, as a part of it, that is worth a step.
	minChange = 0.2
)

// step is a step of the plan: a share and the number of servers that take it.
type step struct {
	share   float64
	servers int
	length  time.Duration
}

// Controller decides about one roll-out. It is not safe for concurrent use.
//
// It first gives the new version a small share. Shortly before the time limit it follows a
// plan of late steps to larger shares, ends with the whole traffic, and completes.
type Controller struct {
	order    Order
	bounds   Bounds
	start    clock.Instant
	old, new int
	newSince clock.Instant // since when the new version has no servers, zero if it has some

	decision Decision
	evidence evidence

	sent, answered, failures [2]float64 // by version: sideOld, sideNew
	reported                 clock.Instant
	interval                 time.Duration // between the reports of a daemon, mean
	daemons                  map[uint64]clock.Instant

	quarters [4]float64 // requests in the last quarters of a second
	quarter  int64      // number of the current one
	rate     float64    // recent high number of requests a second

	plan      []step // late steps, once they have begun
	planIndex int
	stepEnd   clock.Instant
	last      clock.Instant // start of the last step, zero before
	lastEnd   clock.Instant
	lastFixed time.Duration // length of the last step once the late steps have begun
	settled   clock.Instant // when the last change of the share is known and reported; zero after it
	pulseEnd  clock.Instant // end of a pulse: usual load for one server early
}

// Indexes of Controller.sent and the like.
const (
	sideOld = iota
	sideNew
)

// NewController returns a controller for an order. now is the time of the order, or a later
// one for a controller that takes over from another: then o.Duration is the time left. It does
// not know the exposure before. A controller uses at most half of the slack before the last
// step, so that two of them, one after the other or at the same time, stay within it.
func NewController(now clock.Instant, o Order, b Bounds) *Controller {
	return &Controller{order: o, bounds: b, start: now, newSince: now,
		evidence: newEvidence(now, o.Duration), daemons: map[uint64]clock.Instant{}}
}

// SetServers sets the numbers of servers in service of the old and of the new version.
func (c *Controller) SetServers(now clock.Instant, old, new int) {
	c.old, c.new = old, new
	switch {
	case new > 0:
		c.newSince = 0
	case c.newSince == 0:
		c.newSince = now
	}
}

// Add adds the counts of a daemon's report. Counts of other versions than the order's count
// for the old version.
func (c *Controller) Add(now clock.Instant, daemon uint64, counts []Counts) {
	c.roll(now)
	if before, ok := c.daemons[daemon]; ok {
		// Smoothed over some reports; the first one sets it.
		if c.interval == 0 {
			c.interval = now.Sub(before)
		}
		c.interval += (now.Sub(before) - c.interval) / 16
	}
	c.daemons[daemon] = now
	c.reported = now
	for i := range counts {
		n := &counts[i]
		side := sideOld
		if n.Version == c.order.To {
			side = sideNew
		}
		// An answer whose request is not known, since its report was lost, shows a request.
		before := c.sent[side]
		c.answered[side] += float64(n.Requests)
		c.sent[side] = max(before+float64(n.Sent), c.answered[side])
		c.failures[side] += float64(min(n.Failures, n.Requests))
		c.quarters[c.quarter%4] += c.sent[side] - before
		c.evidence.add(now, n, side == sideNew)
	}
}

// roll advances the measurement of the rate.
func (c *Controller) roll(now clock.Instant) {
	for q := int64(now.Sub(c.start) / (time.Second / 4)); c.quarter < q; {
		if q-c.quarter > 100 { // far behind: nothing recent is known
			c.quarter = q - 100
		}
		var sum float64
		for _, n := range c.quarters {
			sum += n
		}
		if c.quarter < 3 {
			sum *= 4 / float64(c.quarter+1) // the first second is not full yet
		}
		c.rate = max(sum, c.rate*rateDecay)
		c.quarter++
		c.quarters[c.quarter%4] = 0
	}
}

// Step decides. It is called at least each 250 ms. After a terminal state it returns the same
// decision always.
func (c *Controller) Step(now clock.Instant) Decision {
	if c.decision.State != Running {
		return c.decision
	}
	c.roll(now)
	limits := c.gainLimits(now)
	found := c.evidence.find(now, limits)
	share := c.decision.Share
	decision := c.next(now, found)
	changed := decision.Share > 1.5*share || share > 1.5*decision.Share
	c.evidence.closeWindows(now, changed || c.settled != 0 && now >= c.settled, limits)
	if changed {
		c.settled = now.Add(c.spread())
	} else if now >= c.settled {
		c.settled = 0
	}
	return decision
}

// spread is the time until all daemons know a decision and have reported what they sent before.
func (c *Controller) spread() time.Duration { return max(time.Second/4, c.interval) * 5 / 4 }

// next decides by the evidence.
func (c *Controller) next(now clock.Instant, found finding) Decision {
	elapsed := now.Sub(c.start)
	switch {
	case found.recent >= 1:
		return c.decide(RolledBack, 0, "worse than the old version: "+found.text, found)
	case c.newSince != 0 && now.Sub(c.newSince) >= c.order.Duration/4:
		return c.decide(RolledBack, 0, "no servers of the version", found)
	case c.last != 0:
		return c.lastStep(now, found)
	case elapsed >= c.lastStart() && c.doubt(now, found, suspicion) == "" &&
		(found.recent < lastSuspicion && now >= c.stepEnd || elapsed >= c.latest()):
		c.last, c.lastEnd = now, now.Add(c.lastLength())
		return c.decide(Running, 1, "last step", found)
	case elapsed >= c.latest():
		return c.decide(RolledBack, 0, c.doubt(now, found, suspicion), found)
	case c.new == 0:
		return c.decide(Running, 0, "waits for servers", found)
	case !c.ready(now):
		return c.decide(Running, 0, "waits for reports", found)
	}
	return c.steps(now, found)
}

// ready reports whether there are recent reports.
func (c *Controller) ready(now clock.Instant) bool {
	return c.reported != 0 && now.Sub(c.start) >= reportTime/2 &&
		now.Sub(c.reported) <= max(time.Second, 2*c.interval)
}

// gainLimits returns the greatest gains in a second. At first a verdict takes 1 s of failures
// or 2 s of slow answers, since servers may be cold. In the late steps it takes half a second,
// since each moment there costs more exposure; with a short Rollback always. In the last step,
// where the old version ceases to give a comparison, it takes 1 s.
func (c *Controller) gainLimits(now clock.Instant) gainLimits {
	switch {
	case c.bounds.Rollback > 0 && c.bounds.Rollback < 3*time.Second, c.plan != nil && c.last == 0:
		return gainLimits{2, 2, 2}
	case c.last != 0, c.pulseEnd != 0 && now.Sub(c.pulseEnd) < reportTime:
		return gainLimits{1, 1, 1}
	}
	return gainLimits{1, 0.5, 0.5}
}

// margin is the time before the limit at which a roll-out completes: the status has to be
// written to the store and read from it.
func (c *Controller) margin() time.Duration {
	m := min(max(c.order.Duration*6/100, 800*time.Millisecond), 5*time.Second)
	return min(m, c.order.Duration/4)
}

// lastLength is the length of the last step. Completed ends the servers of the old version at
// once: before it, all daemons must have learned the share in answers to their reports, and
// the requests that they sent to the old version must have been answered.
//
// It is fixed when the late steps begin, so that an estimate of latencies that changes does
// not cut them short.
func (c *Controller) lastLength() time.Duration {
	if c.lastFixed != 0 {
		return c.lastFixed
	}
	return c.spread() + min(c.evidence.longest(), time.Second) + c.bounds.LastStep
}

// lastStart is the time after the start at which the last step begins; latest is the time at
// which it begins at the latest if there is doubt.
func (c *Controller) lastStart() time.Duration {
	return c.order.Duration - c.margin() - c.lastLength()
}

func (c *Controller) latest() time.Duration { return c.lastStart() + c.margin()/3 }

// doubt returns why the version may not be completed now, "" if it may.
func (c *Controller) doubt(now clock.Instant, found finding, suspicion float64) string {
	missing := c.sent[sideNew] - c.answered[sideNew]
	missingOld := c.sent[sideOld] - c.answered[sideOld]
	switch {
	case c.new == 0:
		return "no servers of the version"
	case c.answered[sideNew] < minAnswers:
		return "too few answers"
	case !c.ready(now):
		return "no recent reports"
	case found.recent >= suspicion || found.whole >= 1:
		return "probably worse than the old version: " + found.text
	case missing > minAnswers+0.5*c.sent[sideNew] && missingOld < 0.25*c.sent[sideOld]:
		return "answers are missing"
	case c.old == 0 && c.failures[sideNew] > 0.5*c.answered[sideNew]:
		return "most answers are failures"
	}
	return ""
}

// lastStep decides while the new version has the whole traffic.
func (c *Controller) lastStep(now clock.Instant, found finding) Decision {
	switch {
	case now.Before(c.lastEnd), !c.ready(now) && now.Sub(c.start) < c.order.Duration-c.margin()/3:
		return c.decide(Running, 1, "last step", found)
	case c.doubt(now, found, endSuspicion) != "":
		return c.decide(RolledBack, 0, c.doubt(now, found, endSuspicion), found)
	case found.whole >= endSuspicion: // there is no later moment at which it could reach the threshold
		return c.decide(RolledBack, 0, "probably worse than the old version: "+found.text, found)
	}
	return c.decide(Completed, 1, "no worse than the old version", found)
}

// unit is the traffic share that gives one server of the new version the load that it will
// have after completion. While servers of the new version may still be starting, it is
// assumed that they will be as many as those of the old one.
func (c *Controller) unit(elapsed time.Duration) float64 {
	n := max(c.new, 1)
	if elapsed < c.order.Duration/4 {
		n = max(n, c.old)
	}
	return 1 / float64(n)
}

// steps decides on the share before the last step.
func (c *Controller) steps(now clock.Instant, found finding) Decision {
	elapsed := now.Sub(c.start)
	requests := c.sent[sideOld] + c.sent[sideNew]
	horizon := max(reportTime, 2*c.interval).Seconds()
	early := c.earlyShare(elapsed, requests)
	if c.plan == nil && found.recent < suspicion && c.answered[sideNew] >= planAnswers {
		if plan, length := c.makePlan(elapsed, requests, early); elapsed >= c.lastStart()-length {
			c.lastFixed = c.lastLength()
			c.plan, c.planIndex = plan, 0
			if len(plan) > 0 {
				c.stepEnd = now.Add(plan[0].length)
			}
		}
	}
	if c.planIndex < len(c.plan) {
		s := c.plan[c.planIndex]
		if !now.Before(c.stepEnd) && c.planIndex+1 < len(c.plan) && found.recent < suspicion {
			c.planIndex++
			s = c.plan[c.planIndex]
			c.stepEnd = now.Add(s.length)
		}
		bound := c.bounds.ExposureShare*0.95*requests + lateSlack*c.bounds.ExposureSlack
		if c.sent[sideNew]+(s.share-c.bounds.ExposureShare)*c.rate*horizon <= bound {
			return c.decideServers(s.share, s.servers, "late step", found)
		}
		return c.decide(Running, early, "late step, exposure at its bound", found)
	}
	if c.pulseEnd != 0 && (now.Before(c.pulseEnd) || now.Sub(c.pulseEnd) < 2*detectTime && found.recent >= pulseSuspicion) {
		return c.decideServers(c.unit(elapsed), 1, "usual load for one server", found)
	}
	unit := c.unit(elapsed)
	allowed := earlyShare * c.bounds.ExposureShare * requests
	if found.recent >= pulseSuspicion && c.pulseEnd != 0 {
		allowed = lateShare*c.bounds.ExposureShare*requests + lateSlack*c.bounds.ExposureSlack
	}
	if c.bounds.LastStep == 0 && unit > early && unit <= maxLate &&
		c.answered[sideNew] >= minAnswers && elapsed < c.lastStart()*3/4 &&
		c.sent[sideNew]+unit*c.rate*(detectTime.Seconds()+horizon) <= allowed {
		c.pulseEnd = now.Add(detectTime)
		return c.decideServers(unit, 1, "usual load for one server", found)
	}
	return c.decide(Running, early, "first step", found)
}

// earlyShare returns the first share.
func (c *Controller) earlyShare(elapsed time.Duration, requests float64) float64 {
	unit := c.unit(elapsed)
	rate := max(c.rate, 1)
	share := min(max(wantedRate/rate, minEarly), maxEarly)
	if limit := c.bounds.ExposureShare * earlyShare; unit <= limit && share < limit {
		share = math.Floor(limit/unit) * unit // usual load from the beginning
	}
	if elapsed < 5*reportTime/2 {
		share = min(share, firstShare)
	}
	// The slack is spread over the roll-out, so that a version that turns bad late gets
	// requests, too.
	progress := min(1, elapsed.Seconds()/max(c.lastStart().Seconds(), 1))
	allowed := earlyShare*c.bounds.ExposureShare*requests +
		earlySlack*c.bounds.ExposureSlack*(0.4+0.6*progress)
	// Spread what is left over some horizons.
	horizon := 2 * max(reportTime, 2*c.interval).Seconds()
	left := (allowed-c.sent[sideNew])/(rate*horizon) + 0.5*earlyShare*c.bounds.ExposureShare
	if share = min(share, left); share < 1e-4 {
		return 0
	}
	return share
}

// makePlan returns the late steps that the exposure bounds allow, and their length. It gives
// one server its usual load first, then further ones, as far as the bounds allow that a step
// lasts long enough to detect a bad version.
func (c *Controller) makePlan(elapsed time.Duration, requests, early float64) ([]step, time.Duration) {
	shortest := detectTime + c.bounds.LastStep/3
	mean := requests / elapsed.Seconds()
	total := requests + mean*(c.lastStart()-elapsed).Seconds()
	if mean == 0 || total == 0 {
		return nil, 0
	}
	// The exposure at the start of the late steps, if they were of the shortest length.
	before := c.sent[sideNew] + early*mean*max(0, (c.lastStart()-elapsed-2*shortest).Seconds())
	unit := c.unit(elapsed)
	first := unit * math.Ceil(max(firstLate, 1.3*early)/unit)
	first = min(first, maxSingle)
	// Long enough for lateAnswers where requests are few.
	longest := min(c.order.Duration/25, 30*time.Second)
	longest = max(shortest, longest, min(c.order.Duration/5, seconds(lateAnswers/(first*mean))))
	bound := lateShare*c.bounds.ExposureShare*total + lateSlack*c.bounds.ExposureSlack - before
	// The last step is to fit into the bound as well, as long as the first late step does.
	left := max(bound-mean*(c.lastLength()+reportTime/2).Seconds(), min(bound, first*mean*shortest.Seconds()))
	var plan []step
	var sum float64
	for s := first; s <= max(first, maxLate)+1e-9; s *= 2 {
		cost := (sum + s) * mean * shortest.Seconds()
		if len(plan) > 0 {
			cost += s * mean * reportTime.Seconds() // until a rollback is known
		}
		if cost > left*1.01 {
			break
		}
		sum += s
		plan = append(plan, step{share: s, servers: c.serversFor(s, unit)})
	}
	if len(plan) == 0 {
		s := min(left/(mean*shortest.Seconds()), maxLate)
		if s < 1.3*early {
			return []step{}, 0
		}
		sum, plan = s, []step{{share: s, servers: c.serversFor(s, unit)}}
	}
	length := min(max(seconds(left/(mean*sum)), shortest), longest)
	for i := range plan {
		plan[i].length = length
	}
	return plan, time.Duration(len(plan)) * length
}

// seconds returns a duration of s seconds, at most an hour.
func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }

// serversFor returns the number of servers that get at most their usual load from a share.
func (c *Controller) serversFor(share, unit float64) int {
	return max(1, min(c.new, int(math.Ceil(share/unit-1e-6))))
}

// decide sets a decision whose share goes to as many servers as get at most their usual load.
// It keeps the last share if the new one differs little, since each change moves shards.
func (c *Controller) decide(s State, share float64, why string, found finding) Decision {
	if s == Running && share > 0 && share < 1 && c.decision.Share > 0 &&
		math.Abs(share-c.decision.Share) < minChange*c.decision.Share {
		share = c.decision.Share
	}
	servers := 0
	if share > 0 {
		servers = c.serversFor(share, 1/float64(max(c.new, 1)))
	}
	return c.set(s, share, servers, why, found)
}

// decideServers sets a decision for a running roll-out with a number of servers.
func (c *Controller) decideServers(share float64, servers int, why string, found finding) Decision {
	return c.set(Running, share, max(1, min(servers, c.new)), why, found)
}

func (c *Controller) set(s State, share float64, servers int, why string, found finding) Decision {
	c.decision = Decision{State: s, Share: share, Servers: servers, Reason: fmt.Sprintf(
		"%s; new %.0f of %.0f failed, old %.0f of %.0f, evidence %.2f (recent) %.2f (whole) %s, exposure %.0f of %.0f",
		why, c.failures[sideNew], c.answered[sideNew], c.failures[sideOld], c.answered[sideOld],
		found.recent, found.whole, found.text, c.sent[sideNew], c.sent[sideNew]+c.sent[sideOld])}
	return c.decision
}
