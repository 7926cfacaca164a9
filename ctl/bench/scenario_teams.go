package bench

import (
	"fmt"
	"slices"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

const (
	loudTeam      = "dealer-busan"
	loudFactor    = 5
	smallTeams    = 10
	smallPeriod   = 3.0  // seconds between two requests of a small team
	quietRate     = 1e-6 // requests a second of a team that is left out
	teamsDuration = 40 * sec
	// oneKeyServiceMS makes the server of one key short of slots for the rate
	// that the teams together may send to it.
	oneKeyServiceMS = 40
	// jumpMS is the time after which all demand moves to another daemon.
	jumpMS = 2000
)

// teams lets one team send five times its rate.
func teams() Scenario {
	fair := map[string]string{"queue": "fair"}
	return Scenario{
		Name: "teams", Example: "hanbit", Duration: teamsDuration,
		About:  "dealer-busan sends 5 times its rate; ten teams send one request every 3 s each",
		Change: addSmallTeams,
		Load:   func(p *load.Plan) { p.Teams[loudIndex(*p)].Rate = loudFactor * p.Teams[loudIndex(*p)].Limit },
		Variants: []Variant{
			{Name: "fifo, one key", Policy: map[string]string{"queue": "fifo"}, Change: slowService, Load: oneKey},
			{Name: "one key", Policy: fair, Change: slowService, Load: oneKey, Chosen: true},
			{Name: "alone, one key", Policy: fair, Change: slowService, Load: func(p *load.Plan) { oneKey(p); onlySmall(p) }},
			{Name: "alone", Policy: fair, Load: onlySmall},
			{Name: "jumping", Policy: fair, Chosen: true, Load: func(p *load.Plan) { p.TargetMoveMS = jumpMS }},
			{Name: "fair", Policy: fair, Chosen: true},
		},
		Measure: measureTeams,
		Compare: func(runs map[string]*Run) []Row {
			w := Window{2 * sec, teamsDuration}
			alone, fair := runs["alone"], runs["fair"]
			ratio := ms(Quantile(fair.Results, w, 0.99, small(fair.Plan))) / ms(Quantile(alone.Results, w, 0.99, small(alone.Plan)))
			key, keyAlone := runs["one key"], runs["alone, one key"]
			queued := ms(Quantile(key.Results, w, 0.99, small(key.Plan))) / ms(Quantile(keyAlone.Results, w, 0.99, small(keyAlone.Plan)))
			return []Row{{Metric: "p99 of small teams, one key relative to alone", Value: queued, Limit: "1 + one service time", Bound: AtMost, Target: 1.2},
				{Metric: "p99 of small teams, fair relative to alone", Value: ratio, Limit: "1", Bound: AtMost, Target: 1.2}}
		},
	}
}

func slowService(d *deployment.Deployment) { serviceTime(d, oneKeyServiceMS) }

// oneKey sends all requests of a service to a single key.
func oneKey(p *load.Plan) { p.Keys = 1 }

func addSmallTeams(d *deployment.Deployment) {
	serviceTime(d, benchServiceMS)
	for i := range smallTeams {
		d.Teams = append(d.Teams, deployment.Team{
			Name: fmt.Sprintf("small-%d", i), Rate: 5, Burst: 10, Services: []string{"storefront"},
			Load: 1 / smallPeriod, Idempotent: 0.5,
		})
	}
}

func loudIndex(p load.Plan) int {
	return slices.IndexFunc(p.Teams, func(t load.Team) bool { return t.Name == loudTeam })
}

func firstSmall(p load.Plan) int { return len(p.Teams) - smallTeams }

func small(p load.Plan) func(load.Result) bool {
	return func(r load.Result) bool { return r.Team >= firstSmall(p) }
}

func onlySmall(p *load.Plan) {
	for i := range firstSmall(*p) {
		p.Teams[i].Rate = quietRate
	}
}

func measureTeams(r *Run) []Row {
	w := Window{2 * sec, teamsDuration}
	rows := []Row{{Metric: "requests of small teams", Value: float64(count(r.Results, w, small(r.Plan)))},
		{Metric: "requests of small teams not served", Unit: "%", Value: r.refused(w, small(r.Plan)), Limit: "0", Bound: AtMost, Target: 0}}
	rows = append(rows, r.latencies("of small teams", w, small(r.Plan), hostLimit())...)
	within, requests, quiet := 0, 0, 0
	for _, t := range r.Report.Teams {
		if t.RateLimited == t.RefusedWithinRate {
			quiet += t.RefusedWithinRate
		}
		within += t.RefusedWithinRate
		requests += t.Requests - (t.RateLimited - t.RefusedWithinRate)
	}
	rows = append(rows, Row{Metric: "limiter's refusals within rate, all teams", Unit: "%", Limit: "0 (one global bucket)",
		Value: 100 * float64(within) / float64(max(requests, 1)), Bound: AtMost, Target: 0.1})
	rows = append(rows, Row{Metric: "limiter's refusals of teams within their rate", Value: float64(quiet), Limit: "0"})
	loud := r.Report.Teams[loudIndex(r.Plan)]
	if loud.Requests > 0 {
		t := r.Plan.Teams[loudIndex(r.Plan)]
		seconds := float64(r.Plan.DurationMS) / 1000
		allowed := t.Limit*seconds + t.Burst
		got := float64(loud.Requests-loud.RateLimited) / allowed
		rows = append(rows,
			Row{Metric: "loud team's admitted part of rate and burst", Value: got, Limit: "1", Bound: AtMost, Target: 1},
			Row{Metric: "loud team's served part of rate and burst", Value: float64(loud.OK) / allowed, Limit: "1 (less on one key)"})
	}
	worst := r.Report.Teams[0]
	for _, t := range r.Report.Teams {
		if t.Team == r.Report.WorstServed {
			worst = t
		}
	}
	return append(rows, Row{Metric: "worst-served team: served of its rate", Unit: "%", Limit: "100",
		Value: 100 * float64(worst.OK) / float64(max(1, worst.Requests-(worst.RateLimited-worst.RefusedWithinRate)))},
		Row{Metric: "worst-served team: p99", Unit: "ms", Value: worst.P99MS, Limit: hostLimit()})
}

func count(results []load.Result, w Window, keep func(load.Result) bool) int {
	n := 0
	for _, r := range results {
		if w.contains(r.At) && keep(r) {
			n++
		}
	}
	return n
}
