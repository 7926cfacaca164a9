package control

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Event is an input of the control state.
type Event interface{ event() }

// Tick triggers time-driven work. It is sent every TickInterval.
type Tick struct{}

// Records carries entries read from a stream, in order, by a reader or from a peer. If
// AsOf is not zero, Next was the head of the stream at AsOf.
type Records struct {
	Stream  string
	Entries []logstream.Entry
	Next    uint64
	AsOf    clock.Instant
}

// Datagram is a message of the witness protocol.
type Datagram struct{ Msg *wire.Datagram }

// BackendUp is the announcement of this daemon's backend server.
type BackendUp struct {
	Name        string
	Service     string
	Addr        string
	Slots       uint32 // number of requests that it runs concurrently
	ChecksFence bool   // it rejects stale generations
	Version     string // of its software; empty if unknown; used only if Options.Rollouts is set
}

// VersionLimits restricts the members that may have the shards of services by their
// versions. It replaces the earlier ones.
type VersionLimits struct {
	Services map[string]*placement.Versions
}

// BackendDown reports that the backend server is gone or is about to leave.
type BackendDown struct{ Reason string }

// BackendLeaving reports that the backend server asked to stop: its shards are handed
// off first. A BackendUp cancels the request.
type BackendLeaving struct{}

// Suspicion reports that a request to an incarnation's daemon failed.
type Suspicion struct{ Incarnation uint64 }

// ReleaseReceived is a release message from an owner. Ticket identifies the answer.
type ReleaseReceived struct {
	Msg    *wire.Release
	Ticket uint64
}

// ReleaseAnswered is a standby's answer to this daemon's release message, or an error
// if none arrived.
type ReleaseAnswered struct {
	Shard          view.ShardID
	Generation     uint64
	Accepted       bool
	Reason         string
	ReadinessCheck bool // the message only checked whether the standby could take the shard
	NoAnswer       bool // no answer arrived
}

// Quiesced reports that no request of the shard runs any more under the token.
type Quiesced struct {
	Shard view.ShardID
	Token uint64
	Marks []*wire.RequestMark
	// Levels are the levels of the buckets, if the shard is a keeper's.
	Levels []*wire.BucketLevel
	// Handover is the token that the backend server gave for the shard, or "".
	Handover string
}

// AppendRefused reports that the log definitely did not accept a record from one Append
// of it.
type AppendRefused struct{ ID [16]byte }

// Shutdown asks the daemon to hand off its shards and leave.
type Shutdown struct{}

func (Tick) event()            {}
func (Records) event()         {}
func (Datagram) event()        {}
func (BackendUp) event()       {}
func (VersionLimits) event()   {}
func (BackendDown) event()     {}
func (BackendLeaving) event()  {}
func (Suspicion) event()       {}
func (ReleaseReceived) event() {}
func (ReleaseAnswered) event() {}
func (Quiesced) event()        {}
func (AppendRefused) event()   {}
func (Shutdown) event()        {}

// Effect is an output of the control state, carried out by the plug-ins.
type Effect interface{ effect() }

// Append adds a record to a stream. The control state retries most records until replay
// shows the record's id.
type Append struct {
	Stream string
	Record *wire.Record
}

// SendDatagram sends a witness message to a UDP address.
type SendDatagram struct {
	Addr string
	Msg  *wire.Datagram
}

// Publish replaces the routing view.
type Publish struct{ View *view.View }

// ConfirmConfig records in the freshness, which all views share, up to where replay has read
// the configuration. It follows the Publish of the view with that configuration: the view
// before must not count as current.
type ConfirmConfig struct {
	Freshness *view.Freshness
	Next      uint64        // position after the last record that was read
	AsOf      clock.Instant // as of which the whole configuration was read, or zero
	Now       clock.Instant
}

// Apply carries out the effect.
func (c ConfirmConfig) Apply() {
	c.Freshness.SetNext(c.Next)
	if c.AsOf != 0 {
		c.Freshness.Advance(c.AsOf, c.Now)
	}
}

// Quiesce asks for the running requests of the shard to finish; the view already
// refuses new ones. Quiesced is the answer.
type Quiesce struct {
	Shard view.ShardID
	Token uint64
}

// SendRelease sends a release message to the standby's daemon, or a readiness check: a
// message without an owner that checks whether the standby could take the shard.
type SendRelease struct {
	PeerAddr string
	Shard    view.ShardID
	Msg      *wire.Release
}

// AnswerRelease answers a release message.
type AnswerRelease struct {
	Ticket uint64
	Answer *wire.ReleaseAnswer
}

// TakeOver reports that the shard was acquired: the token must be granted to the backend
// server, and the request ids that the release carried must be applied.
//
// For a shard created by a split, From names the shard that held its key; the request
// ids are copied from there once the view shows the split.
type TakeOver struct {
	Shard view.ShardID
	Token uint64
	Marks []*wire.RequestMark
	// Levels are those that the release of a keeper shard carried.
	Levels []*wire.BucketLevel
	// Handover is the token of the backend server that held the shard, or "".
	Handover string
	From     view.ShardID // zero unless the shard was split off
	// Resumed reports whether this daemon resumes a shard that it had started to
	// release. It keeps its known request ids of the shard.
	Resumed Resumed
}

// Resumed reports how a shard returned to the owner that was releasing it.
type Resumed uint8

// Values of Resumed.
const (
	NotResumed       Resumed = iota
	ResumedUnsent            // no other daemon can have dispatched it meanwhile
	ResumedAfterSend         // the standby may have dispatched it meanwhile
)

// Merge reports that the key of a split shard returns to the shard of its hash: request
// ids of From must be copied once the view shows the merge.
type Merge struct {
	Shard    view.ShardID
	From     view.ShardID
	Complete bool // this daemon dispatched From until now
}

// Decision is a placement decision, written to the daemon's own log.
type Decision struct {
	Action     string // for example "take_over", "release", "seal", "join"
	Reason     string
	Shard      view.ShardID // zero if the decision is not about one shard
	Generation uint64
	Member     uint64             // the incarnation concerned
	Count      int                // number of shards, witnesses or snapshot parts concerned; for a split, the rate of the key in requests/s
	Balance    *placement.Balance // the figures behind moves that balance load
}

// Departed reports that the daemon may stop after a Shutdown: it holds no shards and is
// no member any more, and replay has shown its leave record or leaveTimeout has passed.
type Departed struct{}

func (Append) effect()        {}
func (SendDatagram) effect()  {}
func (Publish) effect()       {}
func (ConfirmConfig) effect() {}
func (Quiesce) effect()       {}
func (SendRelease) effect()   {}
func (AnswerRelease) effect() {}
func (TakeOver) effect()      {}
func (Merge) effect()         {}
func (Decision) effect()      {}
func (Departed) effect()      {}

// TickInterval is the period of Tick events.
const TickInterval = 50 * time.Millisecond
