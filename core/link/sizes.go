package link

import "math"

const (
	// Large is the size in bytes from which a response is bulk.
	Large = 16 << 10
	// bulkSize is the expected size of a response of a bulk route before the first one.
	bulkSize = 64 << 10
	// sizeSmoothing is the minimum weight of a new size in the mean of its route.
	sizeSmoothing = 0.05
	// minSizes is the number of responses from which the mean of a route counts.
	minSizes = 4
	// maxRoutes bounds the routes with sizes; a full table is cleared.
	maxRoutes = 4096
)

// Sizes keeps the sizes of responses per route. It is not safe for concurrent use.
type Sizes struct {
	routes map[string]*size
	all    size
}

// size is a moving mean and variance of sizes in bytes.
type size struct {
	count    int
	mean     float64
	variance float64
}

func (s *size) add(bytes float64) {
	s.count++
	weight := max(sizeSmoothing, 1/float64(s.count))
	diff := bytes - s.mean
	s.mean += weight * diff
	s.variance = (1 - weight) * (s.variance + weight*diff*diff)
}

// NewSizes returns sizes without any response.
func NewSizes() *Sizes { return &Sizes{routes: map[string]*size{}} }

// Record records the size of a response of a route.
func (s *Sizes) Record(route string, bytes int) {
	r, ok := s.routes[route]
	if !ok {
		if len(s.routes) >= maxRoutes {
			clear(s.routes)
		}
		r = &size{}
		s.routes[route] = r
	}
	r.add(float64(bytes))
	s.all.add(float64(bytes))
}

// Expected returns the expected size of a response of a route in bytes, its standard deviation,
// and whether responses of the route are bulk: those of bulk routes, and of routes whose
// responses are large on average. Without enough responses, that of a bulk route counts as
// bulkSize, that of another as the mean of all routes.
func (s *Sizes) Expected(route string, bulk bool) (bytes, spread float64, large bool) {
	r := s.routes[route]
	switch {
	case r != nil && r.count >= minSizes:
		return r.mean, math.Sqrt(r.variance), bulk || r.mean >= Large
	case bulk:
		return bulkSize, 0, true
	default:
		return s.all.mean, 0, false
	}
}
