// Package loadbalance balances the load of requests that any backend server of a service
// may run.
//
// It is designed for servers of different speed in several data centres, load reports
// that arrive late, and servers that fail some of their requests. It chooses the
// fastest server of the caller's data centre while that server is expected to answer
// within the latency objective, since traffic between data centres has a cost;
// otherwise it chooses the server that is expected to answer first.
package loadbalance

import (
	"math/rand/v2"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// loadMaxAge is the time in which the weight of a server's reported load falls to
	// zero. It is the duration of a few short requests.
	loadMaxAge = 300 * time.Millisecond
	// defaultServiceTime is the service time assumed for a server without a report.
	defaultServiceTime = 60 * time.Millisecond
	// slowdownMaxAge is the time in which the weight of a server's reported slowdown
	// falls to zero. The slowdown changes several times a second.
	slowdownMaxAge = 400 * time.Millisecond
	// failureSmoothing is the weight of a new outcome in the failure rate.
	failureSmoothing = 0.1
	// failureHalfTime is the time without an outcome after which a failure rate has
	// fallen to half. The decay is hyperbolic: after twice that time it is a third.
	failureHalfTime = 3 * time.Second
	// remotePenalty is the gain in expected response time above which a server of
	// another data centre is chosen if no local one is expected to answer within
	// localShare of the target.
	remotePenalty = 20 * time.Millisecond
	// localShare is a share of the target. A server of the caller's data centre that is
	// expected to answer within it is chosen even if a remote one is faster.
	localShare = 0.7
)

// Server holds what is known about one backend server. The zero value is a server
// without reports. It is not safe for concurrent use.
type Server struct {
	Near  bool // in the caller's data centre
	Slots int  // number of requests that it can run at once

	inFlight    int           // requests sent from here that are in flight
	load        int           // running and waiting requests in the last report
	serviceTime time.Duration // service time at typical speed; 0 if not reported
	slowdown    float64       // reported factor on service times; 0 if not reported
	cold        bool
	reported    clock.Instant // time of the last report
	failures    float64       // failure rate as of failureAt, 0 to 1
	failureAt   clock.Instant
	avoidUntil  clock.Instant // until then chosen only if there is no other server
	nextStart   clock.Instant // earliest start of one more request under the server's limit
	linkFree    clock.Instant // when its daemon's link has carried the responses reported
	linkKbps    float64       // rate of the link for large responses in kbit/s; 0 if it is not limited
}

// Report is the load report of a server, sent with a response.
type Report struct {
	Slots    int           // 0 if not known
	Load     int           // running and waiting requests
	Service  time.Duration // service time at typical speed
	Slowdown float64       // factor on service times: 1 is typical, 3 means three times as long; 0 if not known
	Cold     bool
	// NextStart is the time until the limit that the server names allows one more
	// request; 0 if it names none.
	NextStart time.Duration
	// LinkBacklog is the time that the large responses which the link of the server's daemon is to
	// carry take, and LinkKbps the link's rate for them; zeros if the link is not limited.
	LinkBacklog time.Duration
	LinkKbps    float64
}

// Sent records that a request was sent to the server.
func (s *Server) Sent() { s.inFlight++ }

// Ended records the end of a request that Sent recorded.
func (s *Server) Ended() { s.inFlight-- }

// ApplyReport applies a report that arrived at now.
func (s *Server) ApplyReport(now clock.Instant, r Report) {
	s.load = r.Load
	s.serviceTime = r.Service
	s.slowdown = r.Slowdown
	s.cold = r.Cold
	s.reported = now
	s.nextStart = now.Add(r.NextStart)
	s.linkFree, s.linkKbps = now.Add(r.LinkBacklog), r.LinkKbps
	if r.Slots > 0 {
		s.Slots = r.Slots
	}
}

// RecordOutcome updates the failure rate with the outcome of a request.
func (s *Server) RecordOutcome(now clock.Instant, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	rate := s.failureRate(now)
	s.failures = rate + failureSmoothing*(value-rate)
	s.failureAt = now
}

// Avoid excludes the server from selection until the given time, unless there is no
// other server. An earlier call with a later time stays in force.
func (s *Server) Avoid(until clock.Instant) { s.avoidUntil = max(s.avoidUntil, until) }

// Avoided reports whether the server is excluded from selection now.
func (s *Server) Avoided(now clock.Instant) bool { return now < s.avoidUntil }

// failureRate returns the failure rate, which decays with the time since the last
// outcome.
func (s *Server) failureRate(now clock.Instant) float64 {
	if s.failures == 0 {
		return 0
	}
	halves := float64(now.Sub(s.failureAt)) / float64(failureHalfTime)
	return s.failures / (1 + halves)
}

// currentSlowdown returns the expected factor on service times: the reported one,
// approaching 1 as the report ages. It is 1 without a recent report.
func (s *Server) currentSlowdown(now clock.Instant) float64 {
	age := now.Sub(s.reported)
	if s.slowdown == 0 || age >= slowdownMaxAge {
		return 1
	}
	weight := 1 - float64(age)/float64(slowdownMaxAge)
	return 1 + weight*(s.slowdown-1)
}

// expectedTime returns the expected response time: the service time, increased by a
// service time for each round of requests that is served first and by a fifth of a
// service time at full occupancy, and doubled on a cold server. Failures raise it: it
// is divided by the square of the success rate, which counts as at least 0.05. The transfer of a
// large response of size bytes adds to it.
func (s *Server) expectedTime(now clock.Instant, size float64) time.Duration {
	serviceTime := s.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	load := s.inFlight
	if age := now.Sub(s.reported); s.reported != 0 && age < loadMaxAge {
		weight := 1 - float64(age)/float64(loadMaxAge)
		load = max(load, int(weight*float64(s.load)+0.5))
	}
	slots := max(s.Slots, 1)
	wait := max(load+1-slots, 0)
	occupancy := float64(load) / float64(slots)
	predicted := s.currentSlowdown(now) * float64(serviceTime) * (1 + float64(wait)/float64(slots) + 0.2*occupancy)
	if s.cold {
		predicted *= 2
	}
	successRate := max(1-s.failureRate(now), 0.05)
	return max(s.nextStart.Sub(now), 0) + time.Duration(predicted/(successRate*successRate)) + s.transferTime(now, size)
}

// transferTime returns the expected time from the end of a run to that of the transfer of its
// response, if that is large, and 0 otherwise: small responses do not wait for large ones.
func (s *Server) transferTime(now clock.Instant, size float64) time.Duration {
	if size == 0 || s.linkKbps == 0 {
		return 0
	}
	return max(s.linkFree.Sub(now), 0) + time.Duration(size*8/s.linkKbps*float64(time.Millisecond))
}

// Choose returns the index of the server to send a request to, or -1 if skip holds
// for all servers. target is the time left until the latency objective, and size the expected size
// of a large response in bytes, or 0. If all others are avoided, an avoided server is chosen at
// random.
func Choose(now clock.Instant, servers []*Server, skip func(i int) bool, target time.Duration, size float64) int {
	best, near := -1, -1
	var bestTime, nearTime time.Duration
	for _, i := range rand.Perm(len(servers)) {
		s := servers[i]
		if skip(i) || s.Avoided(now) {
			continue
		}
		predicted := s.expectedTime(now, size)
		if best < 0 || predicted < bestTime {
			best, bestTime = i, predicted
		}
		if s.Near && (near < 0 || predicted < nearTime) {
			near, nearTime = i, predicted
		}
	}
	inTime := nearTime <= max(time.Duration(localShare*float64(target)), bestTime+remotePenalty)
	if near >= 0 && inTime {
		return near
	}
	if best >= 0 {
		return best
	}
	return pickRandom(servers, skip)
}

// pickRandom returns a random server that is not skipped, even if it is avoided, or
// -1 if there is none.
func pickRandom(servers []*Server, skip func(i int) bool) int {
	for _, i := range rand.Perm(len(servers)) {
		if !skip(i) {
			return i
		}
	}
	return -1
}
