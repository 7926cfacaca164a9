package placement

import (
	"testing"

	"github.com/matryer/is"
)

func TestRangesFollowTheNumberOfMembers(t *testing.T) {
	is := is.New(t)
	is.Equal(RangeCount(2048, 65536, 7), uint32(2048))
	is.Equal(RangeCount(2048, 65536, 43), uint32(8192))
	is.Equal(RangeCount(2048, 65536, 119), uint32(16384))
	is.Equal(RangeCount(2048, 65536, 9000), uint32(16384)) // no range is smaller than minRangeKeys
	is.Equal(RangeCount(64, 64, 100), uint32(64))
}

// servedShare plays one second of a load on the owners of n ranges: perS requests, of which
// hotShare go to some neighbouring busy keys and the rest to all keys alike. Each member
// serves capacity requests. It returns the share that is served.
func servedShare(t *testing.T, n uint32, members int, perS, hotShare float64, busyKeys int, capacity float64) float64 {
	const keySpace = 65536
	m := newModel(t, n, 5)
	for i := range members {
		m.join(i)
	}
	m.placeAll(t)
	load := map[uint64]float64{}
	owner := func(key int) uint64 { return m.shards()[uint64(key)*uint64(n)/keySpace].Owner }
	for key := range keySpace {
		load[owner(key)] += perS * (1 - hotShare) / keySpace
	}
	const firstBusyKey = 31_007
	for key := firstBusyKey; key < firstBusyKey+busyKeys; key++ {
		load[owner(key)] += perS * hotShare / float64(busyKeys)
	}
	served := 0.0
	for _, l := range load {
		served += min(l, capacity)
	}
	return served / perS
}

// placeAll places all shards in one round.
func (m *fleetModel) placeAll(t fataler) {
	limits := DefaultLimits
	limits.MaxPlacements = len(m.shards())
	plan := Make(m.st, m.cfg, m.load, limits)
	m.apply(0, proposal(plan))
	if m.shards()[0].Owner == 0 {
		t.Fatalf("no owner after a round")
	}
}

// Sixty neighbouring keys that get 39% of the requests were two or three servers' load, while
// those of 119 servers had room: callers of a third of the requests were refused.
func TestBusyNeighboursSpreadOverTheFleet(t *testing.T) {
	is := is.New(t)
	const members, perS, capacity = 119, 1000, 17.0
	for _, load := range []struct {
		hotShare float64
		busyKeys int
		least    float64 // served share that the users get at least
	}{{0.39, 60, 0.75}, {0.36, 200, 0.9}} {
		fixed := servedShare(t, 2048, members, perS, load.hotShare, load.busyKeys, capacity)
		ranged := servedShare(t, RangeCount(2048, 65536, members), members, perS, load.hotShare, load.busyKeys, capacity)
		t.Logf("%d busy keys: served %.2f of the requests with 2048 ranges, %.2f now", load.busyKeys, fixed, ranged)
		is.True(fixed < 0.8)
		is.True(ranged >= load.least)
	}
}
