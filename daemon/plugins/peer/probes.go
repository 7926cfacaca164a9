package peer

import (
	"cmp"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// maxProbes bounds the sessions that are probed per check. Probing many peers at once
	// takes processor time here and at each of them, of which they may be short.
	maxProbes = 8
	// probeSilence is the time without a frame from a peer after which its session is
	// probed.
	probeSilence = probeMisses * checkInterval
	// probeInterval is the minimum time between two probes of a session.
	probeInterval = unresponsiveMisses * checkInterval
)

// dueProbes returns the sessions to probe now, those that were silent longest first.
func dueProbes(now clock.Instant, sessions []*session) []*session {
	due := slices.DeleteFunc(sessions, func(s *session) bool {
		return now.Sub(s.lastReceived()) < probeSilence || s.lastProbe != 0 && now.Sub(s.lastProbe) < probeInterval
	})
	slices.SortFunc(due, func(a, b *session) int { return cmp.Compare(a.lastReceived(), b.lastReceived()) })
	return due[:min(len(due), maxProbes)]
}

// lastReceived returns the time of the last frame from the peer.
func (s *session) lastReceived() clock.Instant {
	last := clock.Instant(0)
	for _, l := range s.links() {
		last = max(last, clock.Instant(l.lastReceived.Load()))
	}
	return last
}
