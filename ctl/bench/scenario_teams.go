package bench

import (
	"fmt"
	"slices"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

const (
	overRateTeam   = "dealer-busan"
	overRateFactor = 5
	smallTeams     = 10
	smallPeriod    = 3.0  // mean seconds between two requests of a small team
	idleRate       = 1e-6 // requests per second of a team that is to send nothing; a plan requires a positive rate
	teamsDuration  = 40 * sec
	// oneKeyServiceMS is a service time at which the server of a single key has
	// too few slots for the total rate of the teams.
	oneKeyServiceMS = 40
	// targetSwitchMS is the interval at which all requests switch to another
	// entry daemon.
	targetSwitchMS = 2000
)

// teams measures how small teams are served while one team sends five times its
// rate, compared with small teams alone.
func teams() Scenario {
	fair := map[string]string{"queue": "fair"}
	return Scenario{
		Name: "teams", Example: "hanbit", Duration: teamsDuration,
		About:  "dealer-busan sends 5 times its rate; ten teams send one request every 3 s each",
		Change: addSmallTeams,
		Load: func(p *load.Plan) {
			p.Teams[overRateIndex(*p)].Rate = overRateFactor * p.Teams[overRateIndex(*p)].Limit
		},
		Variants: []Variant{
			{Name: "fifo, one key", Policy: map[string]string{"queue": "fifo"}, Change: slowService, Load: oneKey},
			{Name: "one key", Policy: fair, Change: slowService, Load: oneKey, Chosen: true},
			{Name: "alone, one key", Policy: fair, Change: slowService, Load: func(p *load.Plan) { oneKey(p); idleOtherTeams(p) }},
			{Name: "alone", Policy: fair, Load: idleOtherTeams},
			{Name: "jumping", Policy: fair, Chosen: true, Load: func(p *load.Plan) { p.TargetSwitchMS = targetSwitchMS }},
			{Name: "fair", Policy: fair, Chosen: true},
		},
		Measure: measureTeams,
		Compare: func(runs map[string]*Run) []Row {
			window := Window{2 * sec, teamsDuration}
			alone, fair := runs["alone"], runs["fair"]
			manyKeysRatio := ms(Quantile(fair.Results, window, 0.99, keepSmallTeams(fair.Plan))) / ms(Quantile(alone.Results, window, 0.99, keepSmallTeams(alone.Plan)))
			key, keyAlone := runs["one key"], runs["alone, one key"]
			oneKeyRatio := ms(Quantile(key.Results, window, 0.99, keepSmallTeams(key.Plan))) / ms(Quantile(keyAlone.Results, window, 0.99, keepSmallTeams(keyAlone.Plan)))
			return []Row{{Metric: "p99 of small teams, one key relative to alone", Value: oneKeyRatio, Limit: "1 + one service time", Bound: AtMost, Target: 1.2},
				{Metric: "p99 of small teams, fair relative to alone", Value: manyKeysRatio, Limit: "1", Bound: AtMost, Target: 1.2}}
		},
	}
}

// slowService sets the service time of the variants with one key.
func slowService(d *deployment.Deployment) { setServiceTime(d, oneKeyServiceMS) }

// oneKey sends all requests with the same path prefix to a single key.
func oneKey(p *load.Plan) { p.Keys = 1 }

// addSmallTeams appends the small teams, so that they are the last in the plan.
func addSmallTeams(d *deployment.Deployment) {
	setServiceTime(d, benchServiceMS)
	for i := range smallTeams {
		d.Teams = append(d.Teams, deployment.Team{
			Name: fmt.Sprintf("small-%d", i), Rate: 5, Burst: 10, Services: []string{"storefront"},
			Load: 1 / smallPeriod, Idempotent: 0.5,
		})
	}
}

// overRateIndex returns the index of the team that exceeds its rate.
func overRateIndex(p load.Plan) int {
	return slices.IndexFunc(p.Teams, func(t load.Team) bool { return t.Name == overRateTeam })
}

// firstSmall returns the index of the first small team.
func firstSmall(p load.Plan) int { return len(p.Teams) - smallTeams }

// keepSmallTeams selects the requests of small teams.
func keepSmallTeams(p load.Plan) func(load.Result) bool {
	return func(r load.Result) bool { return r.Team >= firstSmall(p) }
}

// idleOtherTeams sets the rate of all but the small teams to idleRate.
func idleOtherTeams(p *load.Plan) {
	for i := range firstSmall(*p) {
		p.Teams[i].Rate = idleRate
	}
}

// measureTeams returns the rows of one run of the teams scenario.
func measureTeams(r *Run) []Row {
	w := Window{2 * sec, teamsDuration}
	rows := []Row{{Metric: "requests of small teams", Value: float64(countRequests(r.Results, w, keepSmallTeams(r.Plan)))},
		{Metric: "requests of small teams not served", Unit: "%", Value: r.notServedPercent(w, keepSmallTeams(r.Plan)), Limit: "0", Bound: AtMost, Target: 0}}
	rows = append(rows, r.latencyRows("of small teams", w, keepSmallTeams(r.Plan), latencyLimit())...)
	refusalsWithinRate, requestsWithinRate, refusalsOfCompliantTeams := 0, 0, 0
	for _, t := range r.Report.Teams {
		if t.RateLimited == t.RefusedWithinRate {
			refusalsOfCompliantTeams += t.RefusedWithinRate
		}
		refusalsWithinRate += t.RefusedWithinRate
		requestsWithinRate += t.Requests - (t.RateLimited - t.RefusedWithinRate)
	}
	rows = append(rows, Row{Metric: "limiter's refusals within rate, all teams", Unit: "%", Limit: "0 (one global bucket)",
		Value: 100 * float64(refusalsWithinRate) / float64(max(requestsWithinRate, 1)), Bound: AtMost, Target: 0.1})
	rows = append(rows, Row{Metric: "limiter's refusals of teams within their rate", Value: float64(refusalsOfCompliantTeams), Limit: "0"})
	overRate := r.Report.Teams[overRateIndex(r.Plan)]
	if overRate.Requests > 0 {
		t := r.Plan.Teams[overRateIndex(r.Plan)]
		seconds := float64(r.Plan.DurationMS) / 1000
		allowed := t.Limit*seconds + t.Burst
		admittedShare := float64(overRate.Requests-overRate.RateLimited) / allowed
		rows = append(rows,
			Row{Metric: "loud team's admitted part of rate and burst", Value: admittedShare, Limit: "1", Bound: AtMost, Target: 1},
			Row{Metric: "loud team's served part of rate and burst", Value: float64(overRate.OK) / allowed, Limit: "1 (less on one key)"})
	}
	worst := r.Report.Teams[0]
	for _, t := range r.Report.Teams {
		if t.Team == r.Report.WorstServed {
			worst = t
		}
	}
	return append(rows, Row{Metric: "worst-served team: served of its rate", Unit: "%", Limit: "100",
		Value: 100 * float64(worst.OK) / float64(max(1, worst.Requests-(worst.RateLimited-worst.RefusedWithinRate)))},
		Row{Metric: "worst-served team: p99", Unit: "ms", Value: worst.P99MS, Limit: latencyLimit()})
}

// countRequests returns the number of requests in the window selected by keep.
func countRequests(results []load.Result, w Window, keep func(load.Result) bool) int {
	n := 0
	for _, r := range results {
		if w.contains(r.At) && keep(r) {
			n++
		}
	}
	return n
}
