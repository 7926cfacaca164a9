package settings

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
)

// A caller that has 16 requests for 540 kB outstanding on a connection must not meet a bound.
func TestCallersWithinTheLimitsMeetNoBound(t *testing.T) {
	const outstanding = 16
	is := is.New(t)
	d := Default()
	d.Bounds.MemoryMB = 284
	conn := callermemory.New(d.CallerMemory()).Connection()
	for range outstanding {
		is.Equal(conn.NewCharge().Reserve(callermemory.AnswerBytes(540_000)), callermemory.Admitted)
	}
	is.True(!conn.Full())
}

// Connections must leave descriptors to sessions and the backend server, and settings replace
// what is derived.
func TestCallerLimitsFromSettings(t *testing.T) {
	is := is.New(t)
	d := Default()
	d.Bounds.MemoryMB = 284
	is.True(d.CallerConnections(1024) <= 768)
	is.True(d.CallerConnections(1<<20) < 284<<20/connectionBytes)
	d.Limits.CallerConnections = 7
	d.Limits.CallerConnectionKB, d.Limits.CallerEntryMB, d.Limits.CallerMemoryMB = 100, 20, 30
	is.Equal(d.CallerConnections(1024), 7)
	is.Equal(d.CallerMemory(), callermemory.Limits{Connection: 100 << 10, Entry: 20 << 20, Total: 30 << 20})
	for _, spoil := range []func(*CallerLimits){
		func(l *CallerLimits) { l.CallerConnections = -1 }, func(l *CallerLimits) { l.CallerEntryMB = 31 },
		func(l *CallerLimits) { l.CallerSocketKB = 1 }, func(l *CallerLimits) { l.CallerStallMS = 0 },
	} {
		spoiled := d.Limits.CallerLimits
		spoil(&spoiled)
		problems := 0
		spoiled.check(func(string, ...any) { problems++ })
		is.Equal(problems, 1)
	}
}
