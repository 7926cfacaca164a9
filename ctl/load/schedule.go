package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// request is one scheduled request.
type request struct {
	id         string
	team       int           // index in Plan.Teams
	at         time.Duration // intended send time, since the start of the run
	method     string
	path       string // prefix and key
	idempotent bool
	target     int // index in Plan.Targets of the first target to try
}

// hotStride is the offset added to key numbers at each change of the hot keys. It is
// prime: unless the number of keys is a multiple of it, each key has been the hottest
// once before the cycle repeats.
const hotStride = 7919

// schedule generates the requests of one team in the order of their send times.
// Arrivals are a Poisson process. Everything but the request ids depends only
// on the plan and its seed.
type schedule struct {
	plan Plan
	team int
	rnd  *rand.Rand
	zipf *rand.Zipf    // nil for uniform keys
	at   time.Duration // send time of the latest request
}

func newSchedule(p Plan, team int) *schedule {
	rnd := rand.New(rand.NewPCG(p.Seed, uint64(team)))
	s := &schedule{plan: p, team: team, rnd: rnd}
	if p.Skew > 1 {
		s.zipf = rand.NewZipf(rnd, p.Skew, 1, uint64(p.Keys-1))
	}
	return s
}

// next returns the next request, or false at the end of the run.
func (s *schedule) next() (request, bool) {
	t := s.plan.Teams[s.team]
	s.at += time.Duration(s.rnd.ExpFloat64() / t.Rate * float64(time.Second))
	if s.at >= time.Duration(s.plan.DurationMS)*time.Millisecond {
		return request{}, false
	}
	r := request{team: s.team, at: s.at, method: http.MethodPost, target: s.rnd.IntN(len(s.plan.Targets))}
	if s.plan.TargetSwitchMS > 0 {
		r.target = int(s.at.Milliseconds()/s.plan.TargetSwitchMS) % len(s.plan.Targets)
	}
	if s.rnd.Float64() < t.Idempotent {
		r.method = http.MethodGet
		r.idempotent = true
	}
	prefix := t.Paths[s.rnd.IntN(len(t.Paths))]
	r.path = fmt.Sprintf("%s/k%d", prefix, s.key())
	r.id = uuid.Must(uuid.NewV7()).String() // fails only if the system has no randomness
	return r, true
}

// key draws the number of a key. The most frequent keys change every HotKeyChangeMS.
func (s *schedule) key() int {
	rank, hot := s.hotRank()
	switch {
	case hot:
	case s.zipf == nil:
		return s.rnd.IntN(s.plan.Keys)
	default:
		rank = int(s.zipf.Uint64())
	}
	changes := 0
	if s.plan.HotKeyChangeMS > 0 {
		changes = int(s.at.Milliseconds() / s.plan.HotKeyChangeMS)
	}
	return (rank + changes*hotStride) % s.plan.Keys
}

// hotRank decides whether the request goes to a hot key and, if so, draws one of
// them.
func (s *schedule) hotRank() (rank int, hot bool) {
	if s.plan.HotShare == 0 || s.rnd.Float64() >= s.plan.HotShare {
		return 0, false
	}
	return s.rnd.IntN(s.plan.HotKeys), true
}
