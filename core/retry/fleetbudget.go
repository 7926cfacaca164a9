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
	// ratioShare is the share of FleetLimits.Ratio that is used. The rest covers calls of repeated
	// runs beyond those that are expected, until they are known, and the time between the sending of
	// a request by its caller and its first attempt.
	ratioShare = 0.95
	// extraShare is the share of FleetLimits.Extra that is used. A restarted daemon does
	// not know what it used before, and may use its part twice in a window.
	extraShare = 0.5
	// windowSlots is the number of parts in which a window is counted.
	windowSlots = 40
	// requestSlots is the number of parts for which requests are kept: those that count for the
	// oldest window that has not ended begin a window before it.
	requestSlots = 2 * windowSlots
	// transitSlots is the time within which a repeat arrives, in slots: 2.5 s of a window of 10 s,
	// more than the deadlines of most requests.
	transitSlots = windowSlots / 4
)

// FleetBudget bounds the repeats that one daemon causes at each service, so that all
// daemons together stay within FleetLimits in any window. The mean of the requests in the window and
// in the one before counts: it is no more than the greater one. Each daemon compares its own repeats with
// its own requests of the same time, so that the sums over all daemons compare alike, without agreement.
// Each daemon has an equal part of the extra repeats.
//
// A repeat is reserved before it is sent and settled when its end is known. It arrives in between,
// and counts for each window in which it may arrive.
//
// It is designed for some hundred services and some thousand requests a second at a daemon. It is
// safe for concurrent use.
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

// Reserve records a repeat that is to be sent and is expected to cost the given number of repeats
// at each service. It returns false, and records nothing, if one of the services has no room.
// Settle must follow if it returns true.
func (b *FleetBudget) Reserve(now clock.Instant, cost map[string]float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, n := range cost {
		if !b.window(now, service).hasRoom(n, ratioShare*b.limits.Ratio, b.extra(now)) {
			return false
		}
	}
	for service, n := range cost {
		b.window(now, service).reserved += n
	}
	return true
}

// Settle ends a reservation: the repeat has ended by now, and caused the given number of repeats at
// each service, none if it was not sent.
func (b *FleetBudget) Settle(now clock.Instant, reserved, caused map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, n := range reserved {
		b.window(now, service).reserved -= n
	}
	for service, n := range caused {
		b.window(now, service).repeats[0] += n
	}
}

// extra returns the number of extra repeats in each window.
func (b *FleetBudget) extra(now clock.Instant) float64 {
	age := min(1, float64(now.Sub(b.started))/float64(b.limits.Window))
	return age * extraShare * b.limits.Extra / float64(max(b.daemons, 1))
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

// repeatWindow counts the requests and repeats of a service in slots, the newest first. A window
// that begins within a slot touches one slot more than windowSlots, in all of which repeats count.
// Requests count in the slots that are surely within it or the window before it.
type repeatWindow struct {
	slot     int64 // number of the newest slot
	requests [requestSlots]float64
	repeats  [windowSlots + 1]float64
	reserved float64 // repeats that have not ended
}

func (w *repeatWindow) advance(slot int64) {
	steps := int(min(slot-w.slot, requestSlots))
	if steps <= 0 {
		return
	}
	w.slot = slot
	shift(w.requests[:], steps)
	shift(w.repeats[:], min(steps, len(w.repeats)))
}

// shift moves the counts by a number of slots and clears the newest ones.
func shift(counts []float64, steps int) {
	copy(counts[steps:], counts)
	clear(counts[:steps])
}

// hasRoom reports whether n more repeats may arrive in each window that has begun and not ended.
func (w *repeatWindow) hasRoom(n, ratio, extra float64) bool {
	repeated := w.reserved + n
	requested := sum(w.requests[:windowSlots-1])
	if w.reserved+n > ratio*sum(w.requests[:windowSlots-1-transitSlots])/2+extra {
		return false // they may all arrive in a window that begins later
	}
	for begin := range w.repeats { // slot in which the window begins
		repeated += w.repeats[begin]
		requested += w.requests[begin+windowSlots-1]
		if begin == windowSlots {
			requested -= w.requests[0] // the window may have ended before them
		}
		if repeated > ratio*requested/2+extra {
			return false
		}
	}
	return true
}

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
