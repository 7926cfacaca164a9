package callermemory

import "sync"

const (
	// leastBytes is the expected size of the answers of a route that has none yet, and the least
	// of any route: a request takes about as much by itself, for goroutines and buffers.
	leastBytes = 16 << 10
	// riseWeight and fallWeight are the weights of a new size in the mean, above and below it.
	// Until the mean has risen, the bounds are exceeded by what is under way.
	riseWeight = 1.0 / 4
	fallWeight = 1.0 / 16
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
	return max(leastBytes, int64(s.means[route]))
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
	weight := fallWeight
	if float64(bytes) > mean {
		weight = riseWeight
	}
	s.means[route] = mean + weight*(float64(bytes)-mean)
}
