// Package nested decides which requests a backend server is not given because the calls that their
// runs make are not served in time. Such a run would hold a slot and fail nevertheless.
//
// It is designed for a service of nested calls that serves half of what all runs ask of it, for
// calls of several priorities, and for many daemons that decide on their own: each lowers the
// share of the requests that it admits while more than a few of its calls are lost, and raises it
// again step by step. A Gate does no I/O and is not safe for concurrent use.
package nested

import (
	"math"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/pace"
)

const (
	// maxLoss is the share of lost calls up to which requests are admitted without bounds: less
	// than this is the noise of an uneven load.
	maxLoss = 0.05
	// updateCalls and updateTime are the number of calls and the time after which the share that
	// is admitted is updated, whichever comes first; the time also bounds how old a share gets
	// without calls before it rises.
	updateCalls = 10
	updateTime  = 400 * time.Millisecond
	// minLost is the number of lost calls from which the share falls: a single one tells little.
	minLost = 2
	// firstRaise is the amount by which the share rises with an update without losses. After
	// slowUpdates in a row it doubles with each further one, so that all requests are admitted 3 s
	// after the end of an outage.
	firstRaise  = 0.05
	slowUpdates = 3
	// minShare is the share that is admitted in any case: it shows when calls are served again,
	// and keeps each kind from starving.
	minShare = 0.1
	// minCallsPerRun is the mean number of calls of a route's runs to a service from which the
	// route depends on it.
	minCallsPerRun = 0.2
	// minFatal is the share of the runs with lost calls that fail, from which a route's runs are
	// refused for them. Other runs get on without the calls.
	minFatal = 0.5
	// memory is the weight that earlier runs of a route keep with each new one: about 50 count.
	memory = 0.98
	// rounding is the error of a sum of shares.
	rounding = 1e-6
	// maxTracked bounds the number of routes, and of services with priorities; a full table is
	// cleared.
	maxTracked = 4096
	// returnTime is the least time after which a refused request is to return: by then the share
	// has been updated.
	returnTime = updateTime
)

// Gate decides which requests one backend server is given.
type Gate struct {
	callees map[callee]*supply
	routes  map[string]*route
	credits map[credit]float64
}

// callee is a service with the priority of the requests whose runs call it.
type callee struct {
	service  string
	priority uint32
}

// supply is how a service serves calls of one priority.
type supply struct {
	share   float64 // of the requests that need it which are admitted
	clean   int     // updates without losses in a row
	calls   int     // since the last update
	lost    int     // of them
	updated clock.Instant
	servedS float64 // served calls per second as of the last update
	returns pace.Returns
}

// route is what the runs of a route do.
type route struct {
	runs  float64
	calls map[string]float64 // direct calls by service
	lossy float64            // runs with lost calls
	fatal float64            // of them, failed
}

// credit accumulates the shares of a route's requests of one priority.
type credit struct {
	route    string
	priority uint32
}

// NewGate returns a Gate that admits all requests.
func NewGate() *Gate {
	return &Gate{callees: map[callee]*supply{}, routes: map[string]*route{}, credits: map[credit]float64{}}
}

// RecordCall records the end of a call that a run made, which has the run's priority. lost means
// that it was refused or not answered in time for want of capacity.
func (g *Gate) RecordCall(now clock.Instant, service string, priority uint32, lost bool) {
	key := callee{service, priority}
	s, ok := g.callees[key]
	if !ok {
		if len(g.callees) >= maxTracked {
			clear(g.callees)
		}
		s = &supply{share: 1, updated: now}
		g.callees[key] = s
	}
	s.calls++
	if lost {
		s.lost++
	}
	s.update(now)
}

// update updates the share after enough calls or time.
func (s *supply) update(now clock.Instant) {
	took := now.Sub(s.updated)
	if s.calls < updateCalls && took < updateTime {
		return
	}
	if s.lost >= minLost && float64(s.lost) > maxLoss*float64(s.calls) {
		s.share = max(s.share*(1-float64(s.lost)/float64(s.calls)/2), minShare)
		s.clean = 0
	} else {
		s.clean++
		s.share = min(s.share+firstRaise*math.Exp2(float64(max(0, s.clean-slowUpdates))), 1)
	}
	s.servedS = float64(s.calls-s.lost) / max(took, time.Millisecond).Seconds()
	s.calls, s.lost, s.updated = 0, 0, now
}

// RecordRun records the end of a run: its direct calls by service, whether some of them were lost,
// and whether the run failed.
func (g *Gate) RecordRun(name string, calls map[string]uint32, lost, failed bool) {
	r, ok := g.routes[name]
	if !ok {
		if len(calls) == 0 {
			return
		}
		if len(g.routes) >= maxTracked {
			clear(g.routes)
		}
		r = &route{calls: map[string]float64{}}
		g.routes[name] = r
	}
	r.runs = r.runs*memory + 1
	for service := range r.calls {
		r.calls[service] *= memory
	}
	for service, n := range calls {
		r.calls[service] += float64(n)
	}
	if !lost {
		return
	}
	r.lossy = r.lossy*memory + 1
	r.fatal *= memory
	if failed {
		r.fatal++
	}
}

// Admit reports whether a request may take a slot. If not, it returns the delay after which the
// request is to return, which differs for requests that are refused together.
func (g *Gate) Admit(now clock.Instant, name string, priority uint32) (ok bool, retryAfter time.Duration) {
	r, known := g.routes[name]
	if !known || r.fatal < minFatal*r.lossy || r.lossy == 0 {
		return true, 0
	}
	var scarcest *supply
	for service, n := range r.calls {
		s, known := g.callees[callee{service, priority}]
		if !known || n < minCallsPerRun*r.runs {
			continue
		}
		s.update(now)
		if scarcest == nil || s.share < scarcest.share {
			scarcest = s
		}
	}
	if scarcest == nil || scarcest.share == 1 {
		return true, 0
	}
	key := credit{name, priority}
	if len(g.credits) >= maxTracked {
		clear(g.credits)
	}
	g.credits[key] += scarcest.share
	if g.credits[key] > 1-rounding {
		g.credits[key]--
		return true, 0
	}
	return false, scarcest.returns.Next(now, now.Add(returnTime), max(scarcest.servedS, 1))
}
