// Package load sends requests at a fixed schedule, whether or not earlier ones
// were answered, and accounts for each of them.
package load

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/sesamemoor/sesamemoor/core/settings"
)

// Plan describes one run. It is read from JSON with comments.
type Plan struct {
	Seed           uint64   `json:"seed"`
	DurationMS     int64    `json:"duration_ms"`
	TimeoutMS      int64    `json:"timeout_ms"`      // deadline of each request
	MaxOutstanding int      `json:"max_outstanding"` // requests not answered yet; more are not sent
	Resends        int      `json:"resends"`         // times that a request which may have run is sent again under its id
	Targets        []string `json:"targets"`         // URLs of entry daemons
	Backends       []string `json:"backends"`        // URLs of emulated backend servers, asked what ran
	Keys           int      `json:"keys"`            // keys per path
	Skew           float64  `json:"skew"`            // Zipf exponent above 1; 0 means uniform
	HotMoveMS      int64    `json:"hot_move_ms"`     // time after which other keys are hot; 0 means never
	HotKeys        int      `json:"hot_keys"`        // keys per path that share the hot part of the load equally
	HotShare       float64  `json:"hot_share"`       // part of the load on the hot keys
	TargetMoveMS   int64    `json:"target_move_ms"`  // time after which the next target gets all requests; 0 spreads them
	Teams          []Team   `json:"teams"`
}

// Team is one sender.
type Team struct {
	Name       string   `json:"name"`
	Rate       float64  `json:"rate"`       // requests per second sent
	Limit      float64  `json:"limit"`      // the team's rate in the configuration
	Burst      float64  `json:"burst"`      // the team's burst in the configuration
	Paths      []string `json:"paths"`      // path prefixes; the key follows
	Idempotent float64  `json:"idempotent"` // share of GET requests; the others are POST
	Key        string   `json:"key"`        // caller key
}

// Bounds of a plan.
const (
	maxDuration    = 10 * time.Minute
	maxOutstanding = 20_000
	maxResends     = 10
	maxRate        = 20_000 // requests per second of all teams
)

// ErrPlan reports a plan that cannot be run.
var ErrPlan = errors.New("load: invalid plan")

// ParsePlan decodes and checks a plan.
func ParsePlan(data []byte) (Plan, error) {
	p := Plan{Seed: 1, TimeoutMS: 2000, MaxOutstanding: 2000, Keys: 1000}
	if err := settings.Decode(data, &p); err != nil {
		return Plan{}, fmt.Errorf("%w: %w", ErrPlan, err)
	}
	return p, p.Check()
}

// Check returns an ErrPlan that names the first rule that p breaks.
func (p Plan) Check() error {
	total := 0.0
	for i, t := range p.Teams {
		if t.Name == "" || t.Rate <= 0 || len(t.Paths) == 0 || t.Idempotent < 0 || t.Idempotent > 1 {
			return fmt.Errorf("%w: teams[%d]: name, rate, paths and idempotent in 0 to 1 are required", ErrPlan, i)
		}
		total += t.Rate
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
	case total > maxRate:
		return fmt.Errorf("%w: %g requests/s exceed %d", ErrPlan, total, maxRate)
	case duration <= 0 || duration > maxDuration:
		return fmt.Errorf("%w: duration_ms: not in 1 to %d", ErrPlan, maxDuration.Milliseconds())
	case p.MaxOutstanding < 1 || p.MaxOutstanding > maxOutstanding:
		return fmt.Errorf("%w: max_outstanding: not in 1 to %d", ErrPlan, maxOutstanding)
	case p.Resends < 0 || p.Resends > maxResends:
		return fmt.Errorf("%w: resends: not in 0 to %d", ErrPlan, maxResends)
	case p.Keys < 1 || p.TimeoutMS < 1 || p.HotMoveMS < 0:
		return fmt.Errorf("%w: keys and timeout_ms are positive, hot_move_ms is not negative", ErrPlan)
	case p.HotShare < 0 || p.HotShare > 1 || p.HotShare > 0 && p.HotKeys < 1 || p.HotKeys > p.Keys:
		return fmt.Errorf("%w: hot_share is in 0 to 1 and needs hot_keys in 1 to keys", ErrPlan)
	case p.TargetMoveMS < 0:
		return fmt.Errorf("%w: target_move_ms is not negative", ErrPlan)
	case p.Skew != 0 && p.Skew <= 1:
		return fmt.Errorf("%w: skew is 0 or above 1", ErrPlan)
	}
	return nil
}
