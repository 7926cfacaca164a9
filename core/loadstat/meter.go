// Package loadstat measures the load of shards, keys and backend servers. From the
// members' reports it computes the inputs of placement: the load of each shard and
// the weight of each member.
package loadstat

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// topKeyCapacity is the number of keys that a Meter tracks.
	topKeyCapacity = 256
	// hotShare is the share of a member's requests at or above which a key is reported
	// as hot.
	hotShare = 0.05
	// milli converts rates from requests per second to thousandths of that.
	milli = 1000
)

// Meter counts the requests for a daemon's backend server since the last report. It
// is safe for concurrent use.
type Meter struct {
	mu             sync.Mutex
	since          clock.Instant    // time of the last report
	shards         map[uint32]int64 // requests by shard
	keys           *TopKeys
	serviceTimeSum time.Duration // sum of the service times since the last report
	samples        int64         // number of service times in serviceTimeSum
	total          int64         // requests of all shards
}

// NewMeter returns a meter that starts counting at now.
func NewMeter(now clock.Instant) *Meter {
	return &Meter{since: now, shards: map[uint32]int64{}, keys: NewTopKeys(topKeyCapacity)}
}

// RecordArrival counts a request of a shard's key that arrived at the owner, whether or
// not it is served later.
func (m *Meter) RecordArrival(shard uint32, keyHash uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[shard]++
	m.keys.Add(keyHash, shard)
	m.total++
}

// RecordServiceTime records the service time of a request that the backend server ran.
func (m *Meter) RecordServiceTime(serviceTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serviceTimeSum += serviceTime
	m.samples++
}

// Report returns the rates since the last report and resets the counts. It returns
// nil, and keeps the counts, if no time has passed or the view has no backend server.
func (m *Meter) Report(now clock.Instant, v *view.View) *wire.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	window := now.Sub(m.since)
	if window <= 0 || v.Backend == nil {
		return nil
	}
	report := &wire.LoadReport{
		Incarnation: v.Incarnation, Service: v.Backend.Service, WindowMs: uint32(window.Milliseconds()),
	}
	for shard, count := range m.shards {
		report.Shards = append(report.Shards, &wire.ShardLoad{Shard: shard, RateMilli: rateMilli(float64(count), window)})
	}
	for _, k := range m.keys.Top(max(1, hotShare*float64(m.total))) {
		report.HotKeys = append(report.HotKeys, &wire.KeyLoad{
			KeyHash: k.Hash, Shard: k.Shard, RateMilli: rateMilli(k.Count-k.Error, window)})
	}
	if m.samples > 0 {
		report.LatencyUs = uint32((m.serviceTimeSum / time.Duration(m.samples)).Microseconds())
		report.LatencySamples = uint32(m.samples)
	}
	m.reset(now)
	return report
}

func (m *Meter) reset(now clock.Instant) {
	m.since = now
	clear(m.shards)
	m.keys.Reset()
	m.serviceTimeSum = 0
	m.samples = 0
	m.total = 0
}

// rateMilli returns a rate in thousandths of a request per second.
func rateMilli(count float64, window time.Duration) uint64 {
	return uint64(count * milli / window.Seconds())
}
