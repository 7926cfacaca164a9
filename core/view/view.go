// Package view defines the immutable routing view that traffic goroutines read
// by atomic pointer. The control goroutine builds a new view for each change.
package view

import (
	"sync/atomic"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
)

// KeeperService is the internal service whose shards keep the teams' buckets.
const KeeperService = "_keeper"

// KeeperShards is the number of shards of KeeperService in each region.
const KeeperShards = 64

// Member is what traffic needs to know about an incarnation.
type Member struct {
	Incarnation uint64
	Slot        string
	DataCentre  string
	Service     string
	BackendName string
	PeerAddr    string
	Slots       uint32
}

// Shard is the route of one shard.
type Shard struct {
	Owner      *Member // nil when the shard has no owner
	Standby    *Member
	Generation uint64
}

// Service is the routing table of one service.
type Service struct {
	Shards []Shard
	Base   uint32
	// KeySpace is the number of numeric keys that the shards divide into ranges;
	// 0 if shards are chosen by hash.
	KeySpace uint32
	Split    map[uint64]uint32
}

// ShardOfNumber returns the shard number of a numeric key.
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

// ShardOf returns the shard number of a key hash.
func (s *Service) ShardOf(hash uint64) uint32 {
	if n, ok := s.Split[hash]; ok {
		return n
	}
	return uint32(hash % uint64(s.Base))
}

// ShardID names a shard.
type ShardID struct {
	Service string
	Shard   uint32
}

// Held is a shard that this daemon owns.
type Held struct {
	Token    uint64 // fencing token: generation at which the shard was acquired
	Recorded uint64 // generation that replay shows
	// FreshHistory tells that the shard came without its request-id table: by
	// a lapse or an assignment. Since is the instant of acquisition.
	FreshHistory bool
	Since        clock.Instant
}

// Backend is the backend server beside this daemon.
type Backend struct {
	Name    string
	Service string
	Addr    string
	Slots   uint32
}

// Caller is the identity behind a caller key.
type Caller struct {
	Team  string
	KeyID string
}

// View is one immutable routing view.
type View struct {
	Incarnation   uint64   // own incarnation; 0 before the join record is read
	Backend       *Backend // nil while none is announced
	ConfigVersion uint64
	Config        *fleet.Config
	Callers       map[string]Caller // by hex key hash; withdrawn keys are absent
	Services      map[string]*Service
	Hosts         *fleet.HostTable     // nil before the first configuration
	Servers       map[string][]*Member // members in service by service
	Planners      []*Member            // members that plan for the region, first to act first
	Held          map[ShardID]Held
	// Fresh tells how old the knowledge of the configuration is.
	Fresh *Freshness
	// Daemons lists the daemons in service of the region, by data centre. All
	// daemons that have read the same records list them in the same order.
	Daemons []Daemon
	// Starting lists, in the same order, the daemons of this data centre that have
	// announced themselves, as long as none of it is in service.
	Starting []Daemon
	// Slots is the number of slots known, in service or not.
	Slots int
	// NewerRecords counts the records that this daemon is too old to understand.
	NewerRecords uint64
	// LeaseDeadline is the instant before which owned shards may be
	// dispatched; zero without a lease. It is renewed more often than views
	// are built, see Holder.
	Lease *LeaseCell
	// SelfOut tells that an operator took this daemon's data centre or
	// backend server out of service.
	SelfOut bool
	// Leaving tells that this daemon is shutting down.
	Leaving bool
}

// LeaseCell publishes the lease deadline to traffic goroutines.
type LeaseCell struct{ deadline atomic.Int64 }

// Set stores the deadline.
func (c *LeaseCell) Set(at clock.Instant) { c.deadline.Store(int64(at)) }

// Valid reports whether the lease is held at now.
func (c *LeaseCell) Valid(now clock.Instant) bool { return now < c.Deadline() }

// Deadline returns the instant at which the lease ends.
func (c *LeaseCell) Deadline() clock.Instant { return clock.Instant(c.deadline.Load()) }

// Lookup returns the shard of a service's key.
func (v *View) Lookup(service, key string) (ShardID, Shard, bool) {
	svc, ok := v.Services[service]
	if !ok {
		return ShardID{}, Shard{}, false
	}
	n := svc.ShardOf(fold.KeyHash(key))
	return ShardID{Service: service, Shard: n}, svc.Shards[n], true
}

// LookupNumber returns the shard of a numeric key of a service.
func (v *View) LookupNumber(service string, key uint32) (ShardID, Shard, bool) {
	svc, ok := v.Services[service]
	if !ok || svc.KeySpace == 0 {
		return ShardID{}, Shard{}, false
	}
	n := svc.ShardOfNumber(key)
	return ShardID{Service: service, Shard: n}, svc.Shards[n], true
}

// TookOver reports whether this daemon, the standby of a shard, serves it ahead of
// replay.
func (v *View) TookOver(id ShardID, s Shard) bool {
	_, held := v.Held[id]
	return held && s.Standby != nil && s.Standby.Incarnation == v.Incarnation
}
