package retry

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// FleetLimits are the limits on repeats at one service that hold for all daemons
// together.
type FleetLimits struct {
	Ratio  float64       // repeats allowed for each request of a caller
	Extra  float64       // repeats allowed in a window beyond Ratio
	Window time.Duration // any span of this length counts
}

const (
	// ratioShare is the share of FleetLimits.Ratio that is used. The windows of the
	// daemons are not aligned, so that together they may use more than one allows.
	ratioShare = 0.8
	// extraShare is the share of FleetLimits.Extra that is used. A restarted daemon does
	// not know what it used before, and may use its part twice in a window.
	extraShare = 0.5
	// windowSlots is the number of parts in which a window is counted.
	windowSlots = 20
)

// FleetBudget bounds the repeats that one daemon causes at each service, so that all
// daemons together stay within FleetLimits. A daemon may repeat in proportion to the
// callers' requests that it took itself, which needs no agreement, and has an equal part of
// the extra repeats. It is safe for concurrent use.
type FleetBudget struct {
	mu       sync.Mutex
	limits   FleetLimits
	started  clock.Instant
	daemons  int // most daemons seen: during a partition both sides see fewer
	services map[string]*repeatWindow
}

// NewFleetBudget returns the budget of a daemon that starts. It has no extra repeats yet:
// they accrue over the first window.
func NewFleetBudget(now clock.Instant, limits FleetLimits) *FleetBudget {
	limits.Window = max(limits.Window, time.Second)
	return &FleetBudget{limits: limits, started: now, services: map[string]*repeatWindow{}}
}

// SetDaemons sets the number of daemons that are seen. The largest number counts.
func (b *FleetBudget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(b.daemons, n)
}

// RecordRequest records the first attempt of a caller's request. Calls of backend servers
// are not recorded.
func (b *FleetBudget) RecordRequest(now clock.Instant, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service).requests[0]++
}

// Take records a repeat that costs the given number of repeats at each service. It returns
// false, and records nothing, if one of the services has no room.
func (b *FleetBudget) Take(now clock.Instant, cost map[string]float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, n := range cost {
		if b.window(now, service).repeated()+n > b.allowed(now, service) {
			return false
		}
	}
	for service, n := range cost {
		b.window(now, service).repeats[0] += n
	}
	return true
}

// allowed returns the number of repeats that are allowed in the window that ends at now.
func (b *FleetBudget) allowed(now clock.Instant, service string) float64 {
	age := min(1, float64(now.Sub(b.started))/float64(b.limits.Window))
	part := extraShare * b.limits.Extra / float64(max(b.daemons, 1))
	return ratioShare*b.limits.Ratio*b.window(now, service).requested() + part*age
}

// window returns the counts of a service, advanced to now.
func (b *FleetBudget) window(now clock.Instant, service string) *repeatWindow {
	w, ok := b.services[service]
	if !ok {
		w = &repeatWindow{}
		b.services[service] = w
	}
	w.advance(int64(now.Sub(b.started) / (b.limits.Window / windowSlots)))
	return w
}

// repeatWindow counts the requests and repeats of a window in slots, the newest first.
// One slot more than the window has is kept, so that repeats count for a whole window at
// least and requests at most.
type repeatWindow struct {
	slot     int64 // number of the newest slot
	requests [windowSlots + 1]float64
	repeats  [windowSlots + 1]float64
}

func (w *repeatWindow) advance(slot int64) {
	steps := min(slot-w.slot, windowSlots+1)
	if steps <= 0 {
		return
	}
	w.slot = slot
	shift(w.requests[:], int(steps))
	shift(w.repeats[:], int(steps))
}

// shift moves the counts by a number of slots and clears the newest ones.
func shift(counts []float64, steps int) {
	copy(counts[steps:], counts)
	clear(counts[:steps])
}

func (w *repeatWindow) requested() float64 { return sum(w.requests[:windowSlots]) }
func (w *repeatWindow) repeated() float64  { return sum(w.repeats[:]) }

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
