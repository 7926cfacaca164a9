package rollout

import (
	"sync"
	"time"
)

// maxRecords is the maximum number of pairs of route and version that a Recorder keeps
// between two reports. Requests beyond it are counted under the empty route.
const maxRecords = 256

// Recorder collects the Counts of one service between two reports, at a daemon that sends
// requests to it. It is safe for concurrent use. The zero value is empty.
type Recorder struct {
	mu     sync.Mutex
	counts map[routeVersion]*Counts
}

type routeVersion struct{ route, version string }

// Sent counts a request that is sent to a server of the version. A retry is a request of
// its own.
func (r *Recorder) Sent(route, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(route, version).Sent++
}

// Answered counts the end of a request that Sent counted: its answer, or that it was given
// up without one. failed is true for status 5xx and a cut or missing answer. latency is the
// time since the request was sent. Requests that the caller abandoned, or that certainly did
// not reach the server, are not passed.
func (r *Recorder) Answered(route, version string, failed bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.of(route, version)
	c.Requests++
	if failed {
		c.Failures++
	}
	c.Latencies.Observe(latency)
}

// Take returns what was counted since the last call, in no particular order.
func (r *Recorder) Take() []Counts {
	r.mu.Lock()
	counts := r.counts
	r.counts = nil
	r.mu.Unlock()
	taken := make([]Counts, 0, len(counts))
	for _, c := range counts {
		taken = append(taken, *c)
	}
	return taken
}

// of returns the counts of a route and version. The caller holds r.mu.
func (r *Recorder) of(route, version string) *Counts {
	key := routeVersion{route, version}
	c := r.counts[key]
	if c == nil && len(r.counts) >= maxRecords {
		key.route = ""
		c = r.counts[key]
	}
	if c == nil {
		if r.counts == nil {
			r.counts = map[routeVersion]*Counts{}
		}
		c = &Counts{Route: key.route, Version: version}
		r.counts[key] = c
	}
	return c
}
