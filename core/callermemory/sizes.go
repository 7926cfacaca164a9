package callermemory

import "sync"

const (
	// unknownBytes is the expected size of the answers of a route that has none yet.
	unknownBytes = 16 << 10
	// meanWeight is the weight of a new size in the mean. Its rise takes a few answers: until
	// then the bounds are exceeded by what is under way.
	meanWeight = 1.0 / 8
	// maxRoutes bounds the routes whose sizes are kept.
	maxRoutes = 4096
)

// sizes are the mean sizes of the answers of routes. It is safe for concurrent use.
type sizes struct {
	mu    sync.Mutex
	means map[string]float64 // bytes, by route
}

// newSizes returns sizes of no route.
func newSizes() *sizes { return &sizes{means: map[string]float64{}} }

// expected returns the size that the answer of a route is expected to have, in bytes.
func (s *sizes) expected(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, ok := s.means[route]; ok {
		return int64(mean)
	}
	return unknownBytes
}

// record adds the size of an answer.
func (s *sizes) record(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.means[route]
	if !ok {
		if len(s.means) >= maxRoutes {
			clear(s.means)
		}
		mean = float64(bytes)
	}
	s.means[route] = mean + meanWeight*(float64(bytes)-mean)
}
