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

// Tick lets time-driven work happen. It comes every TickInterval.
type Tick struct{}

// Records carries entries read from a stream, in order, by a reader or from a
// peer. When AsOf is not zero, Next was the head of the stream at AsOf.
type Records struct {
	Stream  string
	Entries []logstream.Entry
	Next    uint64
	AsOf    clock.Instant
}

// Datagram is a message of the witness protocol.
type Datagram struct{ Msg *wire.Datagram }

// BackendUp is the announcement of the backend server beside this daemon.
type BackendUp struct {
	Name        string
	Service     string
	Addr        string
	Slots       uint32
	ChecksFence bool
}

// BackendDown tells that the backend server is gone or is about to leave.
type BackendDown struct{ Reason string }

// BackendLeaving tells that the backend server wants to stop: its shards are
// handed over first. A BackendUp takes the wish back.
type BackendLeaving struct{}

// Suspicion tells that a request to an incarnation's daemon failed.
type Suspicion struct{ Incarnation uint64 }

// ReleaseReceived is a release message from an owner. Ticket ties the answer.
type ReleaseReceived struct {
	Msg    *wire.Release
	Ticket uint64
}

// ReleaseAnswered is a standby's answer to this daemon's release message, or
// an error when none came.
type ReleaseAnswered struct {
	Shard      view.ShardID
	Generation uint64
	Accepted   bool
	Reason     string
	Question   bool // the message asked whether the standby could take the shard
	Silent     bool // no answer came
}

// Quiesced tells that no request of the shard runs any more under the token.
type Quiesced struct {
	Shard view.ShardID
	Token uint64
	Marks []*wire.RequestMark
	// Levels are those of the buckets, if the shard is a keeper's.
	Levels []*wire.BucketLevel
	// Handover is the token that the backend server gave for the shard, or "".
	Handover string
}

// AppendRefused tells that the log surely did not take a record by one Append of
// it.
type AppendRefused struct{ ID [16]byte }

// Shutdown asks the daemon to hand over its shards and leave.
type Shutdown struct{}

func (Tick) event()            {}
func (Records) event()         {}
func (Datagram) event()        {}
func (BackendUp) event()       {}
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

// Append adds a record to a stream. The control state repeats it until replay
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

// Quiesce asks traffic to finish the shard's requests; new ones are refused
// already by the view. Quiesced answers it.
type Quiesce struct {
	Shard view.ShardID
	Token uint64
}

// SendRelease sends a release message to the standby's daemon, or the question
// whether it could take the shard: a message without an owner.
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

// TakeOver tells traffic that the shard was acquired: grant the token to the
// backend server and take in the request ids that came with a release.
//
// A shard made by a split names the shard that held its key in From; its request
// ids are taken from there once the view shows the split.
type TakeOver struct {
	Shard view.ShardID
	Token uint64
	Marks []*wire.RequestMark
	// Levels are those that came with a release of a keeper shard.
	Levels []*wire.BucketLevel
	// Handover is the token of the backend server that held the shard, or "".
	Handover string
	From     view.ShardID // zero unless the shard was split off
	// Resumed tells that this daemon takes back a shard that it had begun to
	// release. What it knows of the shard's request ids stays.
	Resumed Resumed
}

// Resumed tells how a shard came back to the owner that was releasing it.
type Resumed uint8

// Ways in which a shard comes back.
const (
	NotResumed   Resumed = iota
	ResumedWhole         // nobody else can have dispatched it meanwhile
	ResumedLater         // the standby may have dispatched it meanwhile
)

// Merge tells traffic that the key of a split shard returns to the shard of its
// hash: request ids of From are taken in once the view shows it.
type Merge struct {
	Shard view.ShardID
	From  view.ShardID
	Whole bool // this daemon dispatched From up to now
}

// Decision is a placement decision for the log.
type Decision struct {
	Action     string // for example "take_over", "release", "seal", "join"
	Reason     string
	Shard      view.ShardID // zero if the decision is not about one shard
	Generation uint64
	Member     uint64             // the incarnation it is about
	Count      int                // shards concerned, where more than one
	Balance    *placement.Balance // what moves for the sake of load were decided on
}

// Left tells that the daemon holds nothing any more after a Shutdown.
type Left struct{}

func (Append) effect()        {}
func (SendDatagram) effect()  {}
func (Publish) effect()       {}
func (Quiesce) effect()       {}
func (SendRelease) effect()   {}
func (AnswerRelease) effect() {}
func (TakeOver) effect()      {}
func (Merge) effect()         {}
func (Decision) effect()      {}
func (Left) effect()          {}

// TickInterval is the period of Tick events.
const TickInterval = 50 * time.Millisecond
