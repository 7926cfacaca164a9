package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// reportWithPolicy returns a measured report after applyPolicy, for a server that
// announced the given number of running requests.
func reportWithPolicy(p settings.Policy, running uint32) *wire.LoadReport {
	r := &reporter{meter: &meter{}, policy: p}
	r.meter.RecordRunning(running)
	report := &wire.LoadReport{LatencyUs: 7, LatencySamples: 3, Shards: []*wire.ShardLoad{{}}, HotKeys: []*wire.KeyLoad{{}}}
	r.applyPolicy(report)
	return report
}

func TestPolicySelectsReportedLoad(t *testing.T) {
	is := is.New(t)
	measured := reportWithPolicy(settings.Policy{Stragglers: "measured", HotKeys: "split"}, 9)
	is.Equal(measured.LatencyUs, uint32(7))
	is.Equal(len(measured.Shards), 1)
	reported := reportWithPolicy(settings.Policy{Stragglers: "reported", HotKeys: "split"}, 9)
	is.Equal(reported.LatencyUs, uint32(9*announcedRequestUS))
	is.Equal(reported.LatencySamples, uint32(announcedSamples))
	none := reportWithPolicy(settings.Policy{Stragglers: "none", HotKeys: "none"}, 9)
	is.Equal(none.LatencySamples, uint32(0))
	is.Equal(len(none.Shards)+len(none.HotKeys), 0) // static placement by hash
}
