// Package quarantine refuses requests that repeatedly crash backend servers. A
// request is identified by its fingerprint. One crash during its run makes it a
// suspect; a second, distinct crash puts it into quarantine for a limited time. A
// suspect that completes is removed.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// suspicionTime is the time after its newest crash at which a suspect expires.
	suspicionTime = 10 * time.Minute
	// quarantineTime is the time for which a request is refused after its newest
	// crash.
	quarantineTime = 5 * time.Minute
	// maxSuspects is the maximum number of rows in the table, suspects and requests in
	// quarantine together.
	maxSuspects = 4096
	// crashesToQuarantine is the number of distinct crashes that puts a request into
	// quarantine.
	crashesToQuarantine = 2
	// maxCrashIDBytes is the maximum length of a crash ID that a peer reports.
	maxCrashIDBytes = 64
)

// maxCrashes is the maximum number of crashes stored for one request.
const maxCrashes = 8

// Crash is one crash of a backend server while a request ran.
type Crash struct {
	Fingerprint   uint64
	Service       string
	BackendServer string
	ID            string // identifies the crash; the same for all requests in flight at the time
	At            clock.Instant
}

// row is a suspect or, with at least crashesToQuarantine crashes, a request in
// quarantine.
type row struct {
	crashes []Crash
	newest  clock.Instant // time of the newest crash
}

func (r *row) quarantined() bool { return len(r.crashes) >= crashesToQuarantine }

// expired reports whether the suspicion or the quarantine has expired.
func (r *row) expired(now clock.Instant) bool {
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

// RecordCrash records a crash during a request. It reports whether the crash was recorded
// as new, and whether the request is in quarantine now. It ignores a crash without a
// fingerprint, without an ID, or with an ID longer than maxCrashIDBytes. Of the
// crashes beyond maxCrashes it records only the time. Crashes of an expired row still
// count until IsQuarantined or evict removes the row.
func (t *Table) RecordCrash(c Crash) (isNew, quarantined bool) {
	if c.Fingerprint == 0 || c.ID == "" || len(c.ID) > maxCrashIDBytes {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[c.Fingerprint]
	if !ok {
		t.evict(c.At)
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

// RecordCompletion removes a suspect whose request was answered. It reports whether there
// was one. A request in quarantine stays in quarantine.
func (t *Table) RecordCompletion(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[fingerprint]
	if !ok || r.quarantined() {
		return false
	}
	delete(t.rows, fingerprint)
	return true
}

// IsQuarantined reports whether the request is in quarantine. It removes an expired row.
func (t *Table) IsQuarantined(fingerprint uint64, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[fingerprint]
	if !ok {
		return false
	}
	if r.expired(now) {
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

// evict removes expired rows from a full table. If the table is still full, it
// removes the suspect whose newest crash is oldest, or without suspects the request
// in quarantine whose newest crash is oldest.
func (t *Table) evict(now clock.Instant) {
	if len(t.rows) < maxSuspects {
		return
	}
	var oldestFingerprint uint64
	var oldest *row
	for fingerprint, r := range t.rows {
		if r.expired(now) {
			delete(t.rows, fingerprint)
			continue
		}
		if oldest == nil || evictedBefore(r, oldest) {
			oldestFingerprint, oldest = fingerprint, r
		}
	}
	if len(t.rows) >= maxSuspects {
		delete(t.rows, oldestFingerprint)
	}
}

// evictedBefore reports whether a is evicted before b.
func evictedBefore(a, b *row) bool {
	if a.quarantined() != b.quarantined() {
		return !a.quarantined()
	}
	return a.newest < b.newest
}
