package routing

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// Repeats decides whether a request that may have arrived at a backend server may be sent
// to one again. Every such send of this daemon passes Allow, which charges the budgets of
// the request's service and of the services that its run is expected to call. It is safe
// for concurrent use.
type Repeats struct {
	control   kernel.Control
	clock     clock.Clock
	budget    *retry.FleetBudget
	calls     *retry.CallRates
	unlimited bool
}

// NewRepeats returns the decision for this daemon.
func NewRepeats(set settings.Daemon, c kernel.Control, clk clock.Clock) *Repeats {
	limits := retry.FleetLimits{
		Ratio: set.Bounds.RetryRatio, Extra: set.Bounds.RetryExtra,
		Window: time.Duration(set.Bounds.RetryWindowS * float64(time.Second)),
	}
	return &Repeats{
		control: c, clock: clk, budget: retry.NewFleetBudget(clk.Now(), limits), calls: retry.NewCallRates(),
		unlimited: set.Policy.Retries == "naive",
	}
}

// RecordRequest records the first attempt of a request, which adds to the budget of its service.
// Calls of backend servers add nothing if callers are known by their keys. Without teams all
// requests are counted alike, other than the calls of repeated runs, which count as repeats.
func (r *Repeats) RecordRequest(req *wire.Request) {
	v := r.control.View()
	r.budget.SetDaemons(len(v.Daemons))
	if !req.GetRepeat() && (!req.GetNested() || len(v.Config.Teams) == 0) {
		r.budget.RecordRequest(r.clock.Now(), req.GetService())
	}
}

// Allow reports whether the request may be sent once more. If its last attempt may have
// arrived at a backend server, the repeat is charged.
func (r *Repeats) Allow(req *wire.Request, sends *Sends) bool {
	if sends.arrived == sends.paid {
		return true
	}
	if !r.unlimited {
		cost := r.calls.Cost(req.GetRoute(), req.GetService())
		if !r.budget.Reserve(r.clock.Now(), cost) {
			return false
		}
		sends.reserved = cost
	}
	sends.paid = sends.arrived
	return true
}

// Sends counts the attempts of one request.
type Sends struct {
	arrived int // attempts that may have arrived at a backend server
	paid    int // arrived attempts after which Allow returned true

	reserved map[string]float64 // cost of a repeat that was allowed and has not arrived, by service
}

// Arrived returns the number of attempts that may have arrived at a backend server.
func (s *Sends) Arrived() int { return s.arrived }

// LastArrived reports whether the last attempt may have arrived, so that another one is a
// repeat that Allow has not allowed yet.
func (s *Sends) LastArrived() bool { return s.arrived > s.paid }

// Record records the result of an attempt: a response, which may be a refusal, or the error
// of a send without one.
func (r *Repeats) Record(req *wire.Request, sends *Sends, resp *wire.Response, err error) {
	kind := outcome.KindOf(err)
	if err == nil {
		kind = outcome.Kind(resp.GetKind())
	}
	ran := kind.Answer().Ran != outcome.NotRun
	if ran || resp.GetArrived() || kind == outcome.BackendShed || kind == outcome.Misdirected {
		sends.arrived++
		if sends.reserved != nil {
			r.settle(sends, caused(req, sends.reserved, resp, kind))
		}
	}
	if ran && resp.GetArrived() {
		r.calls.Record(req.GetRoute(), resp.GetCalls())
	}
}

// caused returns the repeats that an arrived repeat caused, of which the given ones were reserved. Its
// calls are known if the server has refused it or answered. Otherwise it may still run, and causes
// those that were reserved at least.
func caused(req *wire.Request, reserved map[string]float64, resp *wire.Response, kind outcome.Kind) map[string]float64 {
	caused := map[string]float64{req.GetService(): 1}
	for service, n := range resp.GetCalls() {
		caused[service] += float64(n)
	}
	answered := kind == outcome.OK || kind == outcome.BackendError || kind.Answer().Ran == outcome.NotRun
	if !answered {
		for service, n := range reserved {
			caused[service] = max(caused[service], n)
		}
	}
	return caused
}

// settle ends the reservation of a repeat, if there is one, with the repeats that it caused.
func (r *Repeats) settle(sends *Sends, caused map[string]float64) {
	if sends.reserved == nil {
		return
	}
	r.budget.Settle(r.clock.Now(), sends.reserved, caused)
	sends.reserved = nil
}

// End must be called when a request gets no further attempt. A repeat that was allowed and did not
// arrive costs nothing.
func (r *Repeats) End(sends *Sends) { r.settle(sends, nil) }

// errNotAllowed is returned for a repeat that Allow did not allow.
var errNotAllowed = outcome.New(outcome.Overloaded, "the retry budget has no room for a repeat")
