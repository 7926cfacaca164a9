// Package load generates open-loop load: it sends requests on a fixed, seeded
// schedule, whether or not earlier ones were answered. Latency is measured from
// the intended send time, so a delay in sending counts as latency. Every
// request has one result, and an audit checks it against the runs that the
// emulated backend servers recorded.
package load

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/sesamemoor/sesamemoor/core/settings"
)

// Plan describes one load run. It is read from JSON with comments.
type Plan struct {
	Seed           uint64   `json:"seed"`
	DurationMS     int64    `json:"duration_ms"`
	TimeoutMS      int64    `json:"timeout_ms"`      // timeout of each request
	MaxOutstanding int      `json:"max_outstanding"` // limit of requests in flight; requests beyond it are not sent
	Resends        int      `json:"resends"`         // retries, with the same id, of a request that may have run
	Targets        []string `json:"targets"`         // URLs of entry daemons
	Backends       []string `json:"backends"`        // URLs of emulated backend servers, queried for their runs
	Keys           int      `json:"keys"`            // number of keys per path
	Skew           float64  `json:"skew"`            // Zipf exponent above 1; 0 means uniform
	HotKeyChangeMS int64    `json:"hot_move_ms"`     // interval at which the hot keys change; 0 means never
	HotKeys        int      `json:"hot_keys"`        // keys per path among which HotShare is spread evenly
	HotShare       float64  `json:"hot_share"`       // fraction of the requests that go to the hot keys
	TargetSwitchMS int64    `json:"target_move_ms"`  // interval at which all requests switch to the next target; 0 spreads them randomly
	Teams          []Team   `json:"teams"`
}

// Team is the load of one team.
type Team struct {
	Name       string   `json:"name"`
	Rate       float64  `json:"rate"`       // requests per second sent
	Limit      float64  `json:"limit"`      // the team's rate in the configuration
	Burst      float64  `json:"burst"`      // the team's burst in the configuration
	Paths      []string `json:"paths"`      // path prefixes, to which the key is appended
	Idempotent float64  `json:"idempotent"` // fraction of GET requests; the others are POST
	Key        string   `json:"key"`        // caller key
}

// Upper bounds of a plan.
const (
	maxDuration    = 10 * time.Minute
	maxOutstanding = 20_000
	maxResends     = 10
	maxRate        = 20_000 // requests per second of all teams
)

// ErrPlan is returned for an invalid plan.
var ErrPlan = errors.New("load: invalid plan")

// ParsePlan decodes a plan, applies the defaults and checks it. The error wraps
// ErrPlan.
func ParsePlan(data []byte) (Plan, error) {
	p := Plan{Seed: 1, TimeoutMS: 2000, MaxOutstanding: 2000, Keys: 1000}
	if err := settings.Decode(data, &p); err != nil {
		return Plan{}, fmt.Errorf("%w: %w", ErrPlan, err)
	}
	return p, p.Check()
}

// Check returns an error that wraps ErrPlan and names the first invalid field.
func (p Plan) Check() error {
	totalRate := 0.0
	for i, t := range p.Teams {
		if t.Name == "" || t.Rate <= 0 || len(t.Paths) == 0 || t.Idempotent < 0 || t.Idempotent > 1 {
			return fmt.Errorf("%w: teams[%d]: name, positive rate, paths and idempotent in 0 to 1 are required", ErrPlan, i)
		}
		totalRate += t.Rate
	}
	for i, target := range p.Targets {
		if u, err := url.Parse(target); err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("%w: targets[%d]: %q is not an http URL", ErrPlan, i, target)
		}
	}
	duration := time.Duration(p.DurationMS) * time.Millisecond
	switch {
	case len(p.Teams) == 0 || len(p.Targets) == 0:
		return fmt.Errorf("%w: teams and targets are required", ErrPlan)
	case totalRate > maxRate:
		return fmt.Errorf("%w: teams send %g requests/s in total, more than %d", ErrPlan, totalRate, maxRate)
	case duration <= 0 || duration > maxDuration:
		return fmt.Errorf("%w: duration_ms must be in 1 to %d", ErrPlan, maxDuration.Milliseconds())
	case p.MaxOutstanding < 1 || p.MaxOutstanding > maxOutstanding:
		return fmt.Errorf("%w: max_outstanding must be in 1 to %d", ErrPlan, maxOutstanding)
	case p.Resends < 0 || p.Resends > maxResends:
		return fmt.Errorf("%w: resends must be in 0 to %d", ErrPlan, maxResends)
	case p.Keys < 1 || p.TimeoutMS < 1 || p.HotKeyChangeMS < 0:
		return fmt.Errorf("%w: keys and timeout_ms must be positive, hot_move_ms must not be negative", ErrPlan)
	case p.HotShare < 0 || p.HotShare > 1 || p.HotShare > 0 && p.HotKeys < 1 || p.HotKeys > p.Keys:
		return fmt.Errorf("%w: hot_share must be in 0 to 1 and requires hot_keys in 1 to keys", ErrPlan)
	case p.TargetSwitchMS < 0:
		return fmt.Errorf("%w: target_move_ms must not be negative", ErrPlan)
	case p.Skew != 0 && p.Skew <= 1:
		return fmt.Errorf("%w: skew must be 0 or above 1", ErrPlan)
	}
	return nil
}
