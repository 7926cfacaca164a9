package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// request is one request to be sent at an offset from the start of the run.
type request struct {
	id         string
	team       int // index in the plan
	at         time.Duration
	method     string
	path       string // with the key
	idempotent bool
	target     int // index of the first target to try
}

// hotStride is how far the hot keys move at a time. It is prime, so that moves
// do not repeat soon.
const hotStride = 7919

// schedule yields the requests of one team in order of time. Arrivals are a
// Poisson process.
type schedule struct {
	plan Plan
	team int
	rnd  *rand.Rand
	zipf *rand.Zipf // nil for uniform keys
	at   time.Duration
}

func newSchedule(p Plan, team int) *schedule {
	rnd := rand.New(rand.NewPCG(p.Seed, uint64(team)))
	s := &schedule{plan: p, team: team, rnd: rnd}
	if p.Skew > 1 {
		s.zipf = rand.NewZipf(rnd, p.Skew, 1, uint64(p.Keys-1))
	}
	return s
}

// next returns the next request, or false after the end of the run.
func (s *schedule) next() (request, bool) {
	t := s.plan.Teams[s.team]
	s.at += time.Duration(s.rnd.ExpFloat64() / t.Rate * float64(time.Second))
	if s.at >= time.Duration(s.plan.DurationMS)*time.Millisecond {
		return request{}, false
	}
	r := request{team: s.team, at: s.at, method: http.MethodPost, target: s.rnd.IntN(len(s.plan.Targets))}
	if s.plan.TargetMoveMS > 0 {
		r.target = int(s.at.Milliseconds()/s.plan.TargetMoveMS) % len(s.plan.Targets)
	}
	if s.rnd.Float64() < t.Idempotent {
		r.method = http.MethodGet
		r.idempotent = true
	}
	prefix := t.Paths[s.rnd.IntN(len(t.Paths))]
	r.path = fmt.Sprintf("%s/k%d", prefix, s.key())
	r.id = uuid.Must(uuid.NewV7()).String() // fails only without a source of randomness
	return r, true
}

// key returns the number of a key; the most frequent ones move with time.
func (s *schedule) key() int {
	rank, hot := s.hotRank()
	switch {
	case hot:
	case s.zipf == nil:
		return s.rnd.IntN(s.plan.Keys)
	default:
		rank = int(s.zipf.Uint64())
	}
	moves := 0
	if s.plan.HotMoveMS > 0 {
		moves = int(s.at.Milliseconds() / s.plan.HotMoveMS)
	}
	return (rank + moves*hotStride) % s.plan.Keys
}

// hotRank draws one of the equally hot keys, if the request goes to one.
func (s *schedule) hotRank() (rank int, hot bool) {
	if s.plan.HotShare == 0 || s.rnd.Float64() >= s.plan.HotShare {
		return 0, false
	}
	return s.rnd.IntN(s.plan.HotKeys), true
}
