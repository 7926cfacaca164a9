// Package quarantine keeps requests that crash backend servers away from them.
// A request is known by its fingerprint. One crash while it ran makes it a
// suspect, a second, distinct crash puts it into quarantine for a time. A
// suspect that completes is cleared.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// suspicionTime is the time for which a crash is held against a request.
	suspicionTime = 10 * time.Minute
	// quarantineTime is the time for which a request is refused after the
	// newest of its crashes.
	quarantineTime = 5 * time.Minute
	// maxSuspects bounds the table; the oldest row makes room.
	maxSuspects = 4096
	// crashesToQuarantine is the number of distinct crashes that it takes.
	crashesToQuarantine = 2
	// maxCrashIDBytes bounds a crash id that a peer reports.
	maxCrashIDBytes = 64
)

// maxCrashes bounds the crashes remembered of one request.
const maxCrashes = 8

// Crash is one crash of a backend server while a request ran.
type Crash struct {
	Fingerprint   uint64
	Service       string
	BackendServer string
	ID            string // names the crash, the same for all requests in flight
	At            clock.Instant
}

// row is a suspect or, with enough crashes, a request in quarantine.
type row struct {
	crashes []Crash
	newest  clock.Instant
}

func (r *row) quarantined() bool { return len(r.crashes) >= crashesToQuarantine }

func (r *row) over(now clock.Instant) bool {
	if r.quarantined() {
		return now.Sub(r.newest) > quarantineTime
	}
	return now.Sub(r.newest) > suspicionTime
}

// Table holds suspects and requests in quarantine. It is safe for concurrent
// use.
type Table struct {
	mu   sync.Mutex
	rows map[uint64]*row
}

// New returns an empty table.
func New() *Table { return &Table{rows: map[uint64]*row{}} }

// Crashed takes in a crash. It reports whether the crash was not known before,
// and whether the request is in quarantine now.
func (t *Table) Crashed(c Crash) (news, quarantined bool) {
	if c.Fingerprint == 0 || c.ID == "" || len(c.ID) > maxCrashIDBytes {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[c.Fingerprint]
	if !ok {
		t.makeRoom(c.At)
		r = &row{}
		t.rows[c.Fingerprint] = r
	}
	if slices.ContainsFunc(r.crashes, func(o Crash) bool { return o.ID == c.ID }) {
		return false, r.quarantined()
	}
	r.newest = max(r.newest, c.At)
	if len(r.crashes) == maxCrashes {
		return false, true
	}
	r.crashes = append(r.crashes, c)
	return true, r.quarantined()
}

// Completed clears a suspect whose request was answered. It reports whether
// there was one. A request in quarantine stays there.
func (t *Table) Completed(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[fingerprint]
	if !ok || r.quarantined() {
		return false
	}
	delete(t.rows, fingerprint)
	return true
}

// Refuses reports whether the request is in quarantine.
func (t *Table) Refuses(fingerprint uint64, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[fingerprint]
	if !ok {
		return false
	}
	if r.over(now) {
		delete(t.rows, fingerprint)
		return false
	}
	return r.quarantined()
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// makeRoom drops rows whose time is over and, if the table is still full, the
// one whose newest crash is oldest, suspects first.
func (t *Table) makeRoom(now clock.Instant) {
	if len(t.rows) < maxSuspects {
		return
	}
	var victim uint64
	var victimRow *row
	for fp, r := range t.rows {
		if r.over(now) {
			delete(t.rows, fp)
			continue
		}
		if victimRow == nil || less(r, victimRow) {
			victim, victimRow = fp, r
		}
	}
	if len(t.rows) >= maxSuspects {
		delete(t.rows, victim)
	}
}

func less(a, b *row) bool {
	if a.quarantined() != b.quarantined() {
		return !a.quarantined()
	}
	return a.newest < b.newest
}
