package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// maxBytesPerSecond is the budget for the control traffic of one daemon.
const maxBytesPerSecond = 3000

// Guards against witness traffic per daemon that grows with the fleet.
func TestWitnessTrafficIsIndependentOfFleetSize(t *testing.T) {
	is := is.New(t)
	small, err := Measure(DefaultParams(4))
	is.NoErr(err)
	large, err := Measure(DefaultParams(24))
	is.NoErr(err)
	is.True(small.DatagramsOut > 0)
	is.True(large.DatagramsOut <= 1.2*small.DatagramsOut)
	is.True(large.WitnessBytes < maxBytesPerSecond)
}

// Guards against shards that stay without owner or standby after a loss of
// members, and against one log record per affected shard. A lost member owned
// ShardsPerMember shards and was the standby of as many others.
func TestRegionRecoversWithFewRecords(t *testing.T) {
	is := is.New(t)
	p := RegionParams{Members: 120, ShardsPerMember: 16, Teams: 10, AppendRate: 300}
	r, err := MeasureRegion(p)
	is.NoErr(err)
	is.True(r.Heap > 0)
	loss := r.Events[3]
	is.Equal(loss.Name, "loss of a member")
	is.True(loss.Records >= 2) // the lapse and the new standbys
	is.True(loss.Records < 2*p.ShardsPerMember)
}
