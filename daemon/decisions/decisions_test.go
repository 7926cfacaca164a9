package decisions

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

func TestRingKeepsNewestDecisions(t *testing.T) {
	is := is.New(t)
	ring := NewRing(3)
	log := ring.Attach(zap.NewNop()).With(zap.String("slot", "s1")).Named("entry")
	for i := range 5 {
		log.Info("request", zap.String("request_id", fmt.Sprint("r", i)), zap.String("outcome", "ok"))
		log.Info("started") // not a decision
	}
	is.Equal(len(ring.Request("r1")), 0) // overwritten
	lines := ring.Request("r4")
	is.Equal(len(lines), 1)
	is.True(strings.Contains(string(lines[0]), `"slot":"s1"`))
	is.True(strings.Contains(string(lines[0]), `"outcome":"ok"`))
}

func TestRingFindsPlacementsOfShard(t *testing.T) {
	is := is.New(t)
	ring := NewRing(8)
	log := ring.Attach(zap.NewNop())
	log.Info("placement", zap.String("service", "s"), zap.Uint32("shard", 1), zap.String("action", "take_over"))
	log.Info("placement", zap.String("service", "s"), zap.Uint32("shard", 2), zap.String("action", "release"))
	log.Info("run", zap.String("service", "s"), zap.Uint32("shard", 1))
	lines := ring.Shard("s", 1)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(string(lines[0]), "take_over"))
}

func BenchmarkRing(b *testing.B) {
	log := NewRing(4096).Attach(zap.NewNop())
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", zap.String("request_id", "r"), zap.String("outcome", "ok"), zap.Uint32("shard", 1))
	}
}
