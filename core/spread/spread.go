// Package spread chooses the backend server for a request that any server of a
// service may run.
//
// Load that it answers: servers of different speed in several data centres,
// reports about them that are late, and servers that fail part of what they are
// sent. A server of the caller's data centre is taken while it is expected to
// answer within the latency objective, since bytes between data centres cost;
// otherwise the one that is expected to answer first.
package spread

import (
	"math/rand/v2"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// reportLife is the time in which a report about a server's load loses its
	// weight: as long as a few short requests take.
	reportLife = 300 * time.Millisecond
	// defaultService is the service time of a server that was not measured yet.
	defaultService = 60 * time.Millisecond
	// paceLife is the time in which a report about a server's pace loses its weight:
	// it changes several times a second.
	paceLife = 400 * time.Millisecond
	// failureSmoothing is the weight of one more outcome in the failure rate.
	failureSmoothing = 0.1
	// failureMemory is the time in which half of a failure rate is forgotten
	// where nothing is sent.
	failureMemory = 3 * time.Second
	// farPenalty is the least gain in expected time for which a server of
	// another data centre is taken although one of the own is in time.
	farPenalty = 20 * time.Millisecond
	// nearShare is the part of the objective within which a server of the own
	// data centre must be expected to answer to be preferred.
	nearShare = 0.7
)

// Server is what is known of one server. The zero value knows nothing.
type Server struct {
	Near  bool // in the caller's data centre
	Slots int

	sent      int // requests sent from here that are not answered yet
	load      int // running and waiting when it last reported
	service   time.Duration
	pace      float64
	cold      bool
	reported  clock.Instant
	failures  float64 // rate of failed requests, 0 to 1
	failureAt clock.Instant
	avoid     clock.Instant // not to be chosen before, if there is another
}

// Report is what an answer tells of its server's load.
type Report struct {
	Slots   int
	Load    int           // running and waiting
	Service time.Duration // at the usual pace
	Pace    float64       // how long work takes now beside the usual; 0 if not known
	Cold    bool
}

// Sent counts a request on its way to the server.
func (s *Server) Sent() { s.sent++ }

// Ended counts the end of a request.
func (s *Server) Ended() { s.sent-- }

// Reported takes in a report.
func (s *Server) Reported(now clock.Instant, r Report) {
	s.load = r.Load
	s.service = r.Service
	s.pace = r.Pace
	s.cold = r.Cold
	s.reported = now
	if r.Slots > 0 {
		s.Slots = r.Slots
	}
}

// Outcome takes in whether a request failed at the server.
func (s *Server) Outcome(now clock.Instant, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	rate := s.failureRate(now)
	s.failures = rate + failureSmoothing*(value-rate)
	s.failureAt = now
}

// Avoid tells that the server takes no requests until an instant.
func (s *Server) Avoid(until clock.Instant) { s.avoid = max(s.avoid, until) }

// Avoided reports whether the server is to be left alone now.
func (s *Server) Avoided(now clock.Instant) bool { return now < s.avoid }

func (s *Server) failureRate(now clock.Instant) float64 {
	if s.failures == 0 {
		return 0
	}
	halves := float64(now.Sub(s.failureAt)) / float64(failureMemory)
	return s.failures / (1 + halves)
}

// paceNow returns how long work takes beside the usual, as far as that is known.
func (s *Server) paceNow(now clock.Instant) float64 {
	age := now.Sub(s.reported)
	if s.pace == 0 || age >= paceLife {
		return 1
	}
	weight := 1 - float64(age)/float64(paceLife)
	return 1 + weight*(s.pace-1)
}

// expected returns the time in which the server is expected to answer.
func (s *Server) expected(now clock.Instant) time.Duration {
	service := s.service
	if service == 0 {
		service = defaultService
	}
	load := s.sent
	if age := now.Sub(s.reported); s.reported != 0 && age < reportLife {
		part := 1 - float64(age)/float64(reportLife)
		load = max(load, int(part*float64(s.load)+0.5))
	}
	slots := max(s.Slots, 1)
	wait := max(load+1-slots, 0)
	occupancy := float64(load) / float64(slots)
	took := s.paceNow(now) * float64(service) * (1 + float64(wait)/float64(slots) + 0.2*occupancy)
	if s.cold {
		took *= 2
	}
	succeed := max(1-s.failureRate(now), 0.05)
	return time.Duration(took / (succeed * succeed))
}

// Choose returns the index of the server to send to, or -1 if all are skipped.
// target is the time left to answer within the objective.
func Choose(now clock.Instant, servers []*Server, skip func(i int) bool, target time.Duration) int {
	best, near := -1, -1
	var bestTime, nearTime time.Duration
	for _, i := range rand.Perm(len(servers)) {
		s := servers[i]
		if skip(i) || s.Avoided(now) {
			continue
		}
		took := s.expected(now)
		if best < 0 || took < bestTime {
			best, bestTime = i, took
		}
		if s.Near && (near < 0 || took < nearTime) {
			near, nearTime = i, took
		}
	}
	inTime := nearTime <= max(time.Duration(nearShare*float64(target)), bestTime+farPenalty)
	if near >= 0 && inTime {
		return near
	}
	if best >= 0 {
		return best
	}
	return anyAvoided(servers, skip)
}

// anyAvoided returns a server that is to be left alone, where there is no other.
func anyAvoided(servers []*Server, skip func(i int) bool) int {
	for _, i := range rand.Perm(len(servers)) {
		if !skip(i) {
			return i
		}
	}
	return -1
}
