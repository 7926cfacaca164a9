package decisions

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
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

// A line must be returned as it was logged, whatever its fields, also where an earlier line with other
// fields had its place.
func TestRingReturnsFieldsAsLogged(t *testing.T) {
	is := is.New(t)
	core, direct := observer.New(zap.InfoLevel)
	ring := NewRing(2)
	log := ring.Attach(zap.New(core)).Named("entry").With(zap.String("slot", "s1"), zap.Int("number", 7))
	for i := range 5 {
		id := zap.String("request_id", fmt.Sprint(i))
		log.Info("request", id, zap.Stringer("outcome", time.Second), zap.Bool("repeat", true), zap.Float64("ms", 1.5), zap.Skip())
		log.Warn("request", id, zap.Error(errors.New("lost")), zap.Strings("tried", []string{"a", "b"}), zap.Time("at", time.Unix(5, 7)),
			zap.Complex128("c", 1+2i), zap.ByteString("bytes", []byte("b")), zap.Any("map", map[string]int{"x": 1}), zap.Namespace("n"), zap.Duration("d", 3))
	}
	log.Info("request") // not a decision
	var expected []string
	for _, l := range direct.All()[8:10] {
		expected = append(expected, string(encode(l.Entry, l.Context)))
	}
	var kept []string
	for _, l := range ring.Request("4") {
		kept = append(kept, string(l))
	}
	is.Equal(kept, expected)
}

// The ring kept the fields of each line, 1.8 KB, which were 7 MB of the live heap of a daemon under load.
func TestFullRingTakesNoMoreMemory(t *testing.T) {
	is := is.New(t)
	ring := NewRing(8)
	fields := []zap.Field{zap.String("request_id", "r"), zap.Stringer("outcome", time.Second), zap.Uint32("shard", 1)}
	entry := zapcore.Entry{Message: "request"}
	c := &ringCore{ring: ring, context: fields[2:]}
	is.Equal(testing.AllocsPerRun(100, func() { _ = c.Write(entry, fields[:2]) }), 0.0)
	is.True(unsafe.Sizeof(line{}) <= 2*unsafe.Sizeof(zap.Field{}))
}

// The kinds of lines must not accumulate if one message has ever new keys.
func TestRingForgetsKindsOfLines(t *testing.T) {
	is := is.New(t)
	ring := NewRing(2)
	log := ring.Attach(zap.NewNop())
	for i := range 10 * maxKinds {
		log.Info("request", zap.String("request_id", fmt.Sprint(i)), zap.Bool(fmt.Sprint("key", i), true))
	}
	is.True(len(ring.kinds["request"]) <= maxKinds)
	is.Equal(len(ring.Request(fmt.Sprint(10*maxKinds-2))), 1)
}

func BenchmarkRing(b *testing.B) {
	log := NewRing(4096).Attach(zap.NewNop())
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", zap.String("request_id", "r"), zap.String("outcome", "ok"), zap.Uint32("shard", 1))
	}
}
