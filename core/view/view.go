// Package view defines the immutable routing view that request goroutines load
// through an atomic pointer. The control goroutine builds a new view for each
// change. Only Freshness and LeaseCell change after a view is published.
package view

import (
	"sync/atomic"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// KeeperService is the internal service whose shards keep the teams' token
// buckets.
const KeeperService = "_keeper"

// KeeperShards is the number of shards of KeeperService in each region.
const KeeperShards = 64

// Member is the data about an incarnation that requests need.
type Member struct {
	Incarnation uint64
	Slot        string
	DataCentre  string
	Service     string
	BackendName string
	PeerAddr    string
	Slots       uint32 // number of requests that its backend server runs concurrently
	Version     string // of its backend server's software; empty if unknown
}

// Shard is the route of one shard.
type Shard struct {
	Owner      *Member // nil if the shard has no owner
	Standby    *Member // nil if the shard has no standby
	Generation uint64
}

// Service is the routing table of one service.
type Service struct {
	Shards []Shard
	Base   uint32 // number of shards without those of split keys
	// KeySpace is the number of numeric keys, which the shards divide into ranges.
	// It is 0 if shards are selected by key hash.
	KeySpace uint32
	Split    map[uint64]uint32 // key hash to shard number
}

// ShardOfNumber returns the shard number of a numeric key. Keys above the key
// space belong to the last shard. KeySpace must not be zero.
func (s *Service) ShardOfNumber(key uint32) uint32 {
	return uint32(uint64(min(key, s.KeySpace-1)) * uint64(s.Base) / uint64(s.KeySpace))
}

// Range returns the first and the last numeric key of a shard.
func (s *Service) Range(shard uint32) (first, last uint32) {
	start := func(n uint64) uint32 {
		base := uint64(s.Base)
		return uint32((n*uint64(s.KeySpace) + base - 1) / base)
	}
	return start(uint64(shard)), start(uint64(shard)+1) - 1
}

// ShardOf returns the shard number of a key hash. Unless the key is split, Base
// must not be zero.
func (s *Service) ShardOf(hash uint64) uint32 {
	if n, ok := s.Split[hash]; ok {
		return n
	}
	return uint32(hash % uint64(s.Base))
}

// ShardID identifies a shard.
type ShardID struct {
	Service string
	Shard   uint32
}

// Held is a shard that this daemon owns.
type Held struct {
	Token    uint64 // fencing token: the generation at which the shard was acquired
	Recorded uint64 // the shard's generation in the replayed log
	// NoRequestIDs reports that the shard was acquired without its request-id
	// table, after a lapse or by an assignment. Since is the time of acquisition.
	NoRequestIDs bool
	Since        clock.Instant
}

// Backend is this daemon's backend server.
type Backend struct {
	Name    string
	Service string
	Addr    string
	Slots   uint32 // number of requests that it runs concurrently
}

// Caller is the identity that a caller key authenticates.
type Caller struct {
	Team  string
	KeyID string
}

// View is one immutable routing view.
type View struct {
	Incarnation   uint64   // own incarnation; 0 before the join record is read
	Backend       *Backend // nil if no backend server is announced
	ConfigVersion uint64
	Config        *fleet.Config
	Callers       map[string]Caller // by key hash in hexadecimal, without withdrawn keys
	Services      map[string]*Service
	Hosts         *fleet.HostTable     // nil until a configuration was read
	Servers       map[string][]*Member // members in service, by service name
	Planners      []*Member            // members that may plan for the region, in order of precedence
	Held          map[ShardID]Held
	// ConfigFreshness tracks how recent the configuration is.
	ConfigFreshness *Freshness
	// Daemons lists the daemons in service of the region, sorted by data centre. The
	// order is the same on all daemons that have read the same records.
	Daemons []Daemon
	// Starting lists the announced daemons of this data centre, in the same order,
	// while none of this data centre's daemons is in service. Otherwise it is empty.
	Starting []Daemon
	// Slots is the number of known slots, in service or not.
	Slots int
	// LogEra is the era of the log that this daemon has read; EraSettled reports that replay
	// has its start and its opening, so that shards may change hands.
	LogEra     uint64
	EraSettled bool
	// NewerRecords counts the log records in formats or of kinds that this daemon
	// does not support.
	NewerRecords uint64
	// Lease publishes the end of the lease. Requests of owned shards may be
	// dispatched only before it. It changes more often than views are built, see
	// package lease.
	Lease *LeaseCell
	// OutOfService reports that this daemon's data centre or backend server is out of
	// service by an operator's order, or that its backend server is draining.
	OutOfService bool
	// Rollouts holds the newest order of a roll-out of each service, by service; nil
	// without orders.
	Rollouts map[string]fleet.RolloutOrder
	// RolloutStatuses holds the newest status of a roll-out of each service, where the log
	// has them.
	RolloutStatuses map[string]*wire.RolloutStatus
	// Leaving reports that this daemon is shutting down, LeavingSince since when.
	Leaving      bool
	LeavingSince clock.Instant
}

// LeaseCell publishes the lease deadline to request goroutines. It is safe for
// concurrent use. The deadline is zero without a lease.
type LeaseCell struct{ deadline atomic.Int64 }

// Set stores the deadline.
func (c *LeaseCell) Set(at clock.Instant) { c.deadline.Store(int64(at)) }

// Valid reports whether the lease is held at now.
func (c *LeaseCell) Valid(now clock.Instant) bool { return now < c.Deadline() }

// Deadline returns the time at which the lease ends.
func (c *LeaseCell) Deadline() clock.Instant { return clock.Instant(c.deadline.Load()) }

// Lookup returns the shard of a service's key. It returns false if the service is
// unknown.
func (v *View) Lookup(service, key string) (ShardID, Shard, bool) {
	svc, ok := v.Services[service]
	if !ok {
		return ShardID{}, Shard{}, false
	}
	n := svc.ShardOf(fold.KeyHash(key))
	return ShardID{Service: service, Shard: n}, svc.Shards[n], true
}

// LookupNumber returns the shard of a service's numeric key. It returns false if
// the service is unknown or has no numeric keys.
func (v *View) LookupNumber(service string, key uint32) (ShardID, Shard, bool) {
	svc, ok := v.Services[service]
	if !ok || svc.KeySpace == 0 {
		return ShardID{}, Shard{}, false
	}
	n := svc.ShardOfNumber(key)
	return ShardID{Service: service, Shard: n}, svc.Shards[n], true
}

// TookOver reports whether this daemon is the shard's recorded standby and already
// owns the shard, before replay shows the takeover.
func (v *View) TookOver(id ShardID, s Shard) bool {
	_, held := v.Held[id]
	return held && s.Standby != nil && s.Standby.Incarnation == v.Incarnation
}
