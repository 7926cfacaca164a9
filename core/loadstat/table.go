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
	// maxReportIntervals is the number of report intervals after which a member's
	// last report expires.
	maxReportIntervals = 4
	// smoothing is the weight of a new mean service time in the moving average.
	smoothing = 0.4
	// rateTimeConstant is the time after which a request counts for 1/e of a new one
	// in the rate of its shard. It is long enough for a meaningful rate of a shard that
	// gets a request every few seconds, as with thousands of shards, and short enough
	// to show a sudden load.
	rateTimeConstant = 6 * time.Second
	// busyRate is the mean rate of a service's members, in requests per second, at or
	// above which the service counts as busy.
	busyRate = 1
	// minRate is the rate in requests per second below which a shard without requests
	// is removed.
	minRate = 0.01
	// minSamples is the minimum number of requests from which a backend server's
	// service time is computed.
	minSamples = 10
	// stragglerRatio is the ratio of a member's service time to the median of the
	// service's members at or above which the member counts as a straggler.
	stragglerRatio = 1.6
	// recoveredRatio is the ratio below which a straggler no longer counts as one.
	recoveredRatio = 1.25
	// severeRatio is the ratio at or above which a straggler gets less load than its
	// speed allows: at such a ratio, the requests that it serves determine the high
	// percentiles of the latency that callers see.
	severeRatio = 2.5
	// minWeight is the minimum weight of a straggler.
	minWeight = 0.02
	// fastRatio and notFastRatio are the ratios up to which a member counts as fast
	// and above which it no longer does.
	fastRatio    = 0.8
	notFastRatio = 0.9
	// speedSamples is the number of requests over which a member's service time is
	// averaged before it can count as fast. The service times of one member vary by
	// as much as their mean or more, so with few samples any member can appear fast.
	speedSamples = 200
	// maxWeight is the maximum weight of a fast member. It has no more slots than the
	// others, so additional requests would queue.
	maxWeight = 1.6
	// probeRatio is the ratio to which the estimated service time of a member without
	// samples decays, so that the member gets some load for a new measurement.
	probeRatio = 2.5
	// probeDecay is the factor by which the estimated service time of a member without
	// samples decays with each report.
	probeDecay = 0.95
)

// Table holds the load of a region's members, computed from their reports. It is not
// safe for concurrent use.
type Table struct {
	members map[uint64]*memberLoad   // by incarnation
	owners  map[view.ShardID]uint64  // incarnation of the member that last reported a shard
	busy    map[string]clock.Instant // time since which a service is busy
}

// memberLoad is the load of one member. Times are in microseconds.
type memberLoad struct {
	service    string
	at         clock.Instant // arrival of the last report
	latencyUS  float64       // moving average of the service time; 0 while unknown
	sumUS      float64       // sum of the samples since latencyUS was updated
	samples    float64       // number of samples in sumUS
	straggler  bool
	fast       bool
	speedUS    float64            // service time averaged over about speedSamples requests
	speedCount float64            // number of samples so far in speedUS
	shards     map[uint32]float64 // moving average of requests per second
}

// NewTable returns a table without reports.
func NewTable() *Table {
	return &Table{members: map[uint64]*memberLoad{}, owners: map[view.ShardID]uint64{}, busy: map[string]clock.Instant{}}
}

// Apply applies a report that arrived at now.
func (t *Table) Apply(now clock.Instant, r *wire.LoadReport) {
	m, ok := t.members[r.GetIncarnation()]
	if !ok {
		m = &memberLoad{shards: map[uint32]float64{}}
		t.members[r.GetIncarnation()] = m
	}
	m.service = r.GetService()
	before := m.at
	m.at = now
	t.applyShards(r.GetIncarnation(), m, r.GetShards(), decayFactor(before, now))
	t.updateBusy(now, m.service)
	m.applyLatency(r, t.medians()[m.service])
}

// updateBusy updates the time since which the service is busy. A rate below
// busyRate, such as that of a single request, does not count.
func (t *Table) updateBusy(now clock.Instant, service string) {
	busy := t.meanLoad(service) >= busyRate
	_, was := t.busy[service]
	switch {
	case busy && !was:
		t.busy[service] = now
	case !busy:
		delete(t.busy, service)
	}
}

// BusySince returns the time since which a service is busy according to its members'
// reports, or zero if it is not busy.
func (t *Table) BusySince(service string) clock.Instant { return t.busy[service] }

// decayFactor returns the weight of the previous rates after a report, by the time
// since the previous report.
func decayFactor(before, now clock.Instant) float64 {
	if before == 0 {
		return 0
	}
	return math.Exp(-now.Sub(before).Seconds() / rateTimeConstant.Seconds())
}

// applyShards updates the rates of the member's shards. A shard missing from the
// report had no requests. The rate of a shard that another member reported before
// is transferred to this member.
func (t *Table) applyShards(inc uint64, m *memberLoad, shards []*wire.ShardLoad, decay float64) {
	reported := make(map[uint32]bool, len(shards))
	for _, s := range shards {
		number := s.GetShard()
		reported[number] = true
		rate := float64(s.GetRateMilli()) / milli
		m.shards[number] = decay*t.claimShard(inc, m, number) + (1-decay)*rate
	}
	for number, rate := range m.shards {
		if reported[number] {
			continue
		}
		m.shards[number] = decay * rate
		if decay*rate < minRate {
			delete(m.shards, number)
			delete(t.owners, view.ShardID{Service: m.service, Shard: number})
		}
	}
}

// claimShard records the member as the one that last reported the shard and returns
// the shard's previous rate.
func (t *Table) claimShard(inc uint64, m *memberLoad, number uint32) float64 {
	id := view.ShardID{Service: m.service, Shard: number}
	last, ok := t.owners[id]
	t.owners[id] = inc
	previous := t.members[last]
	if !ok || previous == nil {
		return 0
	}
	rate := previous.shards[number]
	delete(previous.shards, number)
	return rate
}

// applyLatency adds the report's samples, and updates the service times once there
// are minSamples. Without samples, a service time above probeRatio times the median
// decays slowly to probeRatio, so that a straggler without load is measured again.
func (m *memberLoad) applyLatency(r *wire.LoadReport, medianUS float64) {
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
	m.updateSpeed(latency)
	m.sumUS, m.samples = 0, 0
	if m.latencyUS > 0 {
		latency = smoothing*latency + (1-smoothing)*m.latencyUS
	}
	m.latencyUS = latency
}

// updateSpeed adds the mean of the collected samples, weighted by their number, to
// the long-term average speedUS.
func (m *memberLoad) updateSpeed(latencyUS float64) {
	m.speedCount += m.samples
	part := m.samples / min(m.speedCount, speedSamples)
	m.speedUS += min(part, 1) * (latencyUS - m.speedUS)
}

// expire removes members whose last report is older than maxReportIntervals.
func (t *Table) expire(now clock.Instant) {
	maxAge := maxReportIntervals * Interval(len(t.members))
	for inc, m := range t.members {
		if now.Sub(m.at) > maxAge {
			delete(t.members, inc)
			for number := range m.shards {
				delete(t.owners, view.ShardID{Service: m.service, Shard: number})
			}
		}
	}
}

// Has reports whether the table has a report of the member. Load removes expired
// reports.
func (t *Table) Has(inc uint64) bool {
	_, ok := t.members[inc]
	return ok
}

// Load returns the load of each shard in requests per second and the weight of each
// member by incarnation: 1 for normal capacity, less for a straggler, more for a
// fast member. Members without a recent report are absent.
func (t *Table) Load(now clock.Instant) (map[view.ShardID]float64, map[uint64]float64) {
	t.expire(now)
	shards := map[view.ShardID]float64{}
	weights := map[uint64]float64{}
	medians := t.medians()
	speeds := t.medianSpeeds()
	for inc, m := range t.members {
		for shard, rate := range m.shards {
			shards[view.ShardID{Service: m.service, Shard: shard}] = rate
		}
		weights[inc] = m.weight(medians[m.service], speeds[m.service])
	}
	return shards, weights
}

// weight returns the weight of a member from its service times relative to the
// medians of its service. The straggler and fast states have hysteresis, so that
// the weight does not flap.
func (m *memberLoad) weight(medianUS, medianSpeedUS float64) float64 {
	if m.latencyUS == 0 || medianUS == 0 {
		return 1
	}
	ratio := m.latencyUS / medianUS
	m.updateStraggler(ratio)
	speed := m.updateFast(medianSpeedUS)
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

// updateStraggler updates whether the member is a straggler.
func (m *memberLoad) updateStraggler(ratio float64) {
	switch {
	case ratio >= stragglerRatio:
		m.straggler = true
	case ratio < recoveredRatio:
		m.straggler = false
	}
}

// updateFast updates whether the member is fast and returns the ratio of its average
// service time to the median, or 1 with fewer than speedSamples samples.
func (m *memberLoad) updateFast(medianUS float64) float64 {
	if m.speedCount < speedSamples || medianUS == 0 {
		m.fast = false
		return 1
	}
	ratio := m.speedUS / medianUS
	switch {
	case ratio <= fastRatio:
		m.fast = true
	case ratio > notFastRatio:
		m.fast = false
	}
	return ratio
}

// medians returns for each service the median service time of its members, in
// microseconds.
func (t *Table) medians() map[string]float64 {
	return t.medianOf(func(m *memberLoad) float64 { return m.latencyUS })
}

// medianSpeeds returns for each service the median of its members' long-term average
// service times, in microseconds.
func (t *Table) medianSpeeds() map[string]float64 {
	return t.medianOf(func(m *memberLoad) float64 { return m.speedUS })
}

// medianOf returns for each service the median of a value over the members for which
// it is positive.
func (t *Table) medianOf(value func(*memberLoad) float64) map[string]float64 {
	byService := map[string][]float64{}
	for _, m := range t.members {
		if f := value(m); f > 0 {
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

// meanLoad returns the mean request rate of a service's members in requests per
// second, or 0 without members.
func (t *Table) meanLoad(service string) float64 {
	sum, members := 0.0, 0
	for _, m := range t.members {
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
