package loadstat

import (
	"math"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// reportLives is the number of intervals for which a report counts.
	reportLives = 4
	// smoothing is the weight of a new service time against the ones before.
	smoothing = 0.4
	// rateMemory is the time after which a request counts for 1/e of a new one in
	// the rate of its shard. A shard with a request every few seconds, one of
	// thousands, has a rate that says something; a sudden load shows within it.
	rateMemory = 6 * time.Second
	// busyRate is the mean rate of a service's members, in requests a second, from
	// which on the service counts as loaded.
	busyRate = 1
	// leastRate is the rate in requests a second below which a shard is forgotten.
	leastRate = 0.01
	// minSamples is the number of requests from which on a report says
	// something about a backend server's speed.
	minSamples = 10
	// stragglerRatio is the service time, relative to the median of the
	// service's members, from which on a member counts as a straggler.
	stragglerRatio = 1.6
	// recoveredRatio is the ratio below which it no longer does.
	recoveredRatio = 1.25
	// severeRatio is the ratio from which on a straggler keeps less load than its
	// speed asks for: so slow, what it keeps sets the latencies that callers see.
	severeRatio = 2.5
	// minWeight bounds the capacity taken from a straggler.
	minWeight = 0.02
	// fastRatio and usualRatio are the ratios below which a member counts as fast
	// and above which it no longer does.
	fastRatio  = 0.8
	usualRatio = 0.9
	// speedSamples is the number of requests over which a member's speed is
	// averaged before it counts as fast: service times of one member differ by
	// their mean and more, so few of them make any member look fast.
	speedSamples = 200
	// maxWeight bounds the capacity given to a fast member: more requests than that
	// would queue at its slots, which are no more than those of others.
	maxWeight = 1.6
	// probeRatio is the ratio that a member without samples comes down to, so
	// that it gets some load from which it can be measured anew.
	probeRatio = 2.5
	// probeDecay is the part of its service time that a member without samples
	// keeps with each report.
	probeDecay = 0.95
)

// Book holds the newest reports of the members of a region. It is owned by one
// goroutine.
type Book struct {
	members map[uint64]*memberLoad
	owners  map[view.ShardID]uint64  // the member that last reported a shard
	busy    map[string]clock.Instant // since when a service has load
}

type memberLoad struct {
	service   string
	at        clock.Instant
	latencyUS float64 // smoothed service time; 0 while unknown
	sumUS     float64 // service times of samples that were too few so far
	samples   float64 // their number
	straggler bool
	fast      bool
	speedUS   float64            // service time averaged over speedSamples
	seen      float64            // samples behind it
	shards    map[uint32]float64 // smoothed requests per second
}

// NewBook returns a book without reports.
func NewBook() *Book {
	return &Book{members: map[uint64]*memberLoad{}, owners: map[view.ShardID]uint64{}, busy: map[string]clock.Instant{}}
}

// Take takes in a report that arrived at now.
func (b *Book) Take(now clock.Instant, r *wire.LoadReport) {
	m, ok := b.members[r.GetIncarnation()]
	if !ok {
		m = &memberLoad{shards: map[uint32]float64{}}
		b.members[r.GetIncarnation()] = m
	}
	m.service = r.GetService()
	before := m.at
	m.at = now
	b.takeShards(r.GetIncarnation(), m, r.GetShards(), kept(before, now))
	b.noteBusy(now, m.service)
	m.takeLatency(r, b.medians()[m.service])
}

// noteBusy remembers since when the service has load: a single request is none.
func (b *Book) noteBusy(now clock.Instant, service string) {
	busy := b.meanLoad(service) >= busyRate
	_, was := b.busy[service]
	switch {
	case busy && !was:
		b.busy[service] = now
	case !busy:
		delete(b.busy, service)
	}
}

// BusySince returns since when reports show load of a service; zero if they show
// none.
func (b *Book) BusySince(service string) clock.Instant { return b.busy[service] }

// kept returns the part of earlier rates that a report leaves.
func kept(before, now clock.Instant) float64 {
	if before == 0 {
		return 0
	}
	return math.Exp(-now.Sub(before).Seconds() / rateMemory.Seconds())
}

// takeShards smooths the rates of the member's shards. One that the report does
// not name had no request; one that another member reported before brings its
// rate along.
func (b *Book) takeShards(inc uint64, m *memberLoad, shards []*wire.ShardLoad, kept float64) {
	reported := make(map[uint32]bool, len(shards))
	for _, s := range shards {
		number := s.GetShard()
		reported[number] = true
		rate := float64(s.GetRateMilli()) / milli
		m.shards[number] = kept*b.claim(inc, m, number) + (1-kept)*rate
	}
	for number, rate := range m.shards {
		if reported[number] {
			continue
		}
		m.shards[number] = kept * rate
		if kept*rate < leastRate {
			delete(m.shards, number)
			delete(b.owners, view.ShardID{Service: m.service, Shard: number})
		}
	}
}

// claim makes the member the one that reports a shard and returns the rate that
// the shard had so far.
func (b *Book) claim(inc uint64, m *memberLoad, number uint32) float64 {
	id := view.ShardID{Service: m.service, Shard: number}
	last, ok := b.owners[id]
	b.owners[id] = inc
	former := b.members[last]
	if !ok || former == nil {
		return 0
	}
	rate := former.shards[number]
	delete(former.shards, number)
	return rate
}

// takeLatency adds the report's samples to those before until there are enough
// of them. A straggler that gets no load any more is forgiven slowly, down to
// probeRatio.
func (m *memberLoad) takeLatency(r *wire.LoadReport, medianUS float64) {
	n := float64(r.GetLatencySamples())
	m.sumUS += n * float64(r.GetLatencyUs())
	m.samples += n
	if n == 0 && m.latencyUS > probeRatio*medianUS {
		m.latencyUS = max(probeDecay*m.latencyUS, probeRatio*medianUS)
	}
	if m.samples < minSamples {
		return
	}
	latency := m.sumUS / m.samples
	m.takeSpeed(latency)
	m.sumUS, m.samples = 0, 0
	if m.latencyUS > 0 {
		latency = smoothing*latency + (1-smoothing)*m.latencyUS
	}
	m.latencyUS = latency
}

// takeSpeed adds the samples that led to a mean service time to the average.
func (m *memberLoad) takeSpeed(latencyUS float64) {
	m.seen += m.samples
	part := m.samples / min(m.seen, speedSamples)
	m.speedUS += min(part, 1) * (latencyUS - m.speedUS)
}

// expire drops the reports that are too old.
func (b *Book) expire(now clock.Instant) {
	life := reportLives * Interval(len(b.members))
	for inc, m := range b.members {
		if now.Sub(m.at) > life {
			delete(b.members, inc)
			for number := range m.shards {
				delete(b.owners, view.ShardID{Service: m.service, Shard: number})
			}
		}
	}
}

// Has reports whether a recent report of the member is there.
func (b *Book) Has(inc uint64) bool {
	_, ok := b.members[inc]
	return ok
}

// Load returns the load of each shard in requests per second and the weight of
// each member: 1 for full capacity, less for a straggler. Members without a
// recent report are absent.
func (b *Book) Load(now clock.Instant) (map[view.ShardID]float64, map[uint64]float64) {
	b.expire(now)
	shards := map[view.ShardID]float64{}
	weights := map[uint64]float64{}
	medians := b.medians()
	speeds := b.medianSpeeds()
	for inc, m := range b.members {
		for shard, rate := range m.shards {
			shards[view.ShardID{Service: m.service, Shard: shard}] = rate
		}
		weights[inc] = m.weight(medians[m.service], speeds[m.service])
	}
	return shards, weights
}

// weight judges a member's speed against the median service time. Between two
// ratios its standing stays as it is, so that it does not flap.
func (m *memberLoad) weight(medianUS, medianSpeedUS float64) float64 {
	if m.latencyUS == 0 || medianUS == 0 {
		return 1
	}
	ratio := m.latencyUS / medianUS
	m.judge(ratio)
	speed := m.judgeSpeed(medianSpeedUS)
	switch {
	case m.straggler && ratio >= severeRatio:
		return max(minWeight, 1/(ratio*ratio))
	case m.straggler:
		return 1 / ratio
	case m.fast:
		return min(maxWeight, 1/speed)
	default:
		return 1
	}
}

// judge tells whether the member is a straggler.
func (m *memberLoad) judge(ratio float64) {
	switch {
	case ratio >= stragglerRatio:
		m.straggler = true
	case ratio < recoveredRatio:
		m.straggler = false
	}
}

// judgeSpeed tells whether the member is fast and returns its average service time
// against the median of these.
func (m *memberLoad) judgeSpeed(medianUS float64) float64 {
	if m.seen < speedSamples || medianUS == 0 {
		m.fast = false
		return 1
	}
	ratio := m.speedUS / medianUS
	switch {
	case ratio <= fastRatio:
		m.fast = true
	case ratio > usualRatio:
		m.fast = false
	}
	return ratio
}

// medians returns the median service time of each service's members.
func (b *Book) medians() map[string]float64 {
	return b.medianOf(func(m *memberLoad) float64 { return m.latencyUS })
}

// medianSpeeds returns the median of the members' averages over many requests.
func (b *Book) medianSpeeds() map[string]float64 {
	return b.medianOf(func(m *memberLoad) float64 { return m.speedUS })
}

// medianOf returns the median of a figure of each service's members that have it.
func (b *Book) medianOf(figure func(*memberLoad) float64) map[string]float64 {
	byService := map[string][]float64{}
	for _, m := range b.members {
		if f := figure(m); f > 0 {
			byService[m.service] = append(byService[m.service], f)
		}
	}
	medians := make(map[string]float64, len(byService))
	for service, list := range byService {
		slices.Sort(list)
		medians[service] = list[(len(list)-1)/2]
	}
	return medians
}

// meanLoad returns the mean request rate of a service's members, 0 without any.
func (b *Book) meanLoad(service string) float64 {
	sum, members := 0.0, 0
	for _, m := range b.members {
		if m.service != service {
			continue
		}
		members++
		for _, rate := range m.shards {
			sum += rate
		}
	}
	return sum / float64(max(members, 1))
}
