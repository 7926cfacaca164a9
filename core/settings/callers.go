package settings

import "github.com/sesamemoor/sesamemoor/core/callermemory"

const (
	// defaultMemoryMB is the memory from which the limits of callers are derived if that of the
	// process is not limited.
	defaultMemoryMB = 2048
	// callerMemoryShare is the part of the memory that may be held on behalf of callers. The
	// collector needs as much again, and connections, code and control state the rest.
	callerMemoryShare = 0.25
	// callerEntryShare is the part of that for callers' connections. The rest is always left to
	// requests of other daemons.
	callerEntryShare = 0.8
	// callerConnectionBytes holds 16 answers of 540 kB twice, as received and as written: what a
	// caller within the limits may have outstanding on one connection.
	callerConnectionBytes = 18 << 20
	// connectionsShare is the part of the memory that connections may take by their number, with
	// connectionBytes each: goroutines, and the buffers of net/http and of the kernel while
	// little waits in them.
	connectionsShare = 0.33
	connectionBytes  = 32 << 10
	// descriptorsShare is the part of the descriptors for callers' connections. Sessions and the
	// backend server need the rest.
	descriptorsShare = 0.625
)

// CallerMemory returns the bounds on what is held on behalf of callers.
func (d Daemon) CallerMemory() callermemory.Limits {
	l := d.Limits.CallerLimits
	total := float64(l.CallerMemoryMB << 20)
	if total == 0 {
		total = callerMemoryShare * float64(d.memory())
	}
	entry := float64(l.CallerEntryMB << 20)
	if entry == 0 {
		entry = callerEntryShare * total
	}
	conn := l.CallerConnectionKB << 10
	if conn == 0 {
		conn = callerConnectionBytes
	}
	return callermemory.Limits{Connection: min(conn, int64(entry)), Entry: int64(entry), Total: int64(total)}
}

// CallerConnections returns the bound on the open connections of callers of a process with a
// limit of descriptors.
func (d Daemon) CallerConnections(descriptors uint64) int {
	if n := d.Limits.CallerConnections; n > 0 {
		return n
	}
	byMemory := connectionsShare * float64(d.memory()) / connectionBytes
	return max(1, int(min(byMemory, descriptorsShare*float64(descriptors))))
}

// memory returns the memory of the process in bytes.
func (d Daemon) memory() int64 {
	if d.Bounds.MemoryMB == 0 {
		return defaultMemoryMB << 20
	}
	return d.Bounds.MemoryMB << 20
}

func (l CallerLimits) check(add addFunc) {
	for _, p := range []struct {
		field string
		value int64
	}{
		{"caller_connections", int64(l.CallerConnections)}, {"caller_connection_kb", l.CallerConnectionKB},
		{"caller_entry_mb", l.CallerEntryMB}, {"caller_memory_mb", l.CallerMemoryMB},
	} {
		if p.value < 0 {
			add("limits.%s: %d is negative", p.field, p.value)
		}
	}
	if l.CallerSocketKB < 8 {
		add("limits.caller_socket_kb: %d is below 8", l.CallerSocketKB)
	}
	if l.CallerStallMS < 1 {
		add("limits.caller_stall_ms: %d is not positive", l.CallerStallMS)
	}
	if l.CallerMemoryMB > 0 && l.CallerEntryMB > l.CallerMemoryMB {
		add("limits.caller_entry_mb: %d is above caller_memory_mb", l.CallerEntryMB)
	}
}
