// Package relay passes log records between daemons. A few daemons of some data
// centres read from the platform; the others follow one of them, or one that
// does, in a tree of small fan-out. A daemon that is cut from the log learns of
// new records from peers in other data centres.
package relay

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.relay", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newRelay,
			func(r *relay) kernel.Relay { return r },
			kernel.AsFrameHandler(func(r *relay) *relay { return r }),
		),
		fx.Invoke(startSurvey),
	)
}

const (
	// configWaits is the longest wait for news of the configuration in waits of a
	// read of the log: those who read it know its head anew that often.
	configWaits = 1.5
	// placementWait is the longest wait for placement records. Their head need
	// not be known.
	placementWait = 10 * time.Second
	// callSlack is the time that a peer may take beyond its wait.
	callSlack = 500 * time.Millisecond
	// silentFor is the time during which a peer that did not answer is not
	// asked again; up to half of it is added at random.
	silentFor = 4 * time.Second
)

// relay implements kernel.Relay and kernel.FrameHandler.
type relay struct {
	slot       string
	dataCentre string
	readers    readers
	control    kernel.Control
	peers      kernel.Peers
	clock      clock.Clock
	log        *zap.Logger
	stores     map[string]*store
	// surveyAfter is the age of configuration knowledge from which on peers of all
	// data centres are asked, each surveyInterval.
	surveyAfter, surveyInterval time.Duration
	configWait                  time.Duration // longest wait for news of the configuration

	mu     sync.Mutex
	down   bool                     // the last survey found the log down
	source map[string]string        // peer followed for each stream, "" for the platform
	silent map[string]clock.Instant // peers not to be asked before the instant
}

func newRelay(set settings.Daemon, c kernel.Control, p kernel.Peers, clk clock.Clock, log *zap.Logger) *relay {
	r := &relay{
		slot: set.Slot, dataCentre: set.DataCentre, control: c, peers: p, clock: clk,
		readers:     readers{ofCentre: max(set.Bounds.LogReadersPerCentre, 1), centres: set.Bounds.LogReaderCentres},
		configWait:  time.Duration(configWaits * float64(set.Bounds.LogWaitMS) * float64(time.Millisecond)),
		surveyAfter: time.Duration(set.Bounds.LogStaleMS) * time.Millisecond, surveyInterval: time.Duration(set.Bounds.LogSurveyMS) * time.Millisecond,
		log: log.Named("relay"), stores: map[string]*store{}, source: map[string]string{}, silent: map[string]clock.Instant{},
	}
	for _, stream := range []string{logstream.ConfigStream, logstream.PlacementStream(set.Region)} {
		r.stores[stream] = newStore(stream, c.Post)
	}
	return r
}

// Next implements kernel.Relay.
func (r *relay) Next(stream string) uint64 { return r.stores[stream].position() }

// Take implements kernel.Relay.
func (r *relay) Take(stream string, from uint64, batch logstream.Batch, asOf clock.Instant) {
	r.stores[stream].take(from, batch, asOf)
}

// Restart implements kernel.Relay.
func (r *relay) Restart(stream string, first uint64) { r.stores[stream].restart(first) }

// Read implements kernel.Relay.
func (r *relay) Read(ctx context.Context, stream string, from uint64) (logstream.Batch, clock.Instant, error) {
	addr := r.readers.parent(r.tree(), r.slot, r.dataCentre)
	if addr != "" && (!r.mayAsk(addr) || stream == logstream.ConfigStream && r.behind()) {
		addr = "" // a peer that learns nothing may be the one that is cut off
	}
	r.noteSource(stream, addr)
	if addr == "" {
		return logstream.Batch{}, 0, kernel.ErrNoPeer
	}
	batch, asOf, err := r.ask(ctx, addr, stream, from, r.waitOf(stream))
	if err != nil {
		r.markSilent(addr)
		r.log.Info("peer does not pass records on", zap.String("peer", addr), zap.Error(err))
	}
	return batch, asOf, err
}

// tree returns the daemons of which some follow others: those in service, and in a
// data centre that is just starting all that have announced themselves.
func (r *relay) tree() []view.Daemon {
	v := r.control.View()
	if len(v.Starting) > 0 {
		return v.Starting
	}
	return v.Daemons
}

// noteSource logs where a stream is read from when that changes.
func (r *relay) noteSource(stream, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.source[stream]; ok && old == addr {
		return
	}
	r.source[stream] = addr
	r.log.Info("reading", zap.String("stream", stream), zap.String("from", cmp.Or(addr, "platform")))
}

func (r *relay) waitOf(stream string) time.Duration {
	if stream == logstream.ConfigStream {
		return r.configWait
	}
	return placementWait
}

func (r *relay) mayAsk(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() >= r.silent[addr]
}

func (r *relay) markSilent(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for other, until := range r.silent {
		if now >= until {
			delete(r.silent, other)
		}
	}
	r.silent[addr] = now.Add(silentFor + rand.N(silentFor/2))
}

// ask reads from a peer. The instant is the one as of which the peer knew the
// head, on this host's clock: the peer tells it relative to the arrival of the
// question, which was sent no later than that.
func (r *relay) ask(ctx context.Context, addr, stream string, from uint64, wait time.Duration) (logstream.Batch, clock.Instant, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	sent := r.clock.Now()
	frame, err := r.peers.Call(ctx, addr, &wire.Frame{Body: &wire.Frame_ReadRecords{ReadRecords: &wire.ReadRecords{
		Stream: stream, From: from, Max: answerRecords, WaitMs: uint32(wait.Milliseconds())}}})
	if err != nil {
		return logstream.Batch{}, 0, fmt.Errorf("relay: %s: %w", addr, err)
	}
	answer := frame.GetRecordBatch()
	switch {
	case answer == nil || answer.GetStream() != stream:
		return logstream.Batch{}, 0, fmt.Errorf("relay: %s: answer of another kind", addr)
	case answer.GetFirst() > from:
		return logstream.Batch{}, 0, fmt.Errorf("relay: %s holds records from %d only: %w", addr, answer.GetFirst(), logstream.ErrTrimmed)
	}
	batch := logstream.Batch{First: answer.GetFirst(), Next: answer.GetNext()}
	for _, e := range answer.GetEntries() {
		batch.Records = append(batch.Records, logstream.Entry{Offset: e.GetOffset(), Data: e.GetData()})
	}
	if answer.GetNext() == 0 {
		return batch, 0, nil
	}
	asOf := sent.Add(-time.Duration(answer.GetHeadAgeMs()) * time.Millisecond)
	return batch, min(asOf, r.clock.Now()), nil
}

// Handles implements kernel.FrameHandler.
func (r *relay) Handles(frame *wire.Frame) bool { return frame.GetReadRecords() != nil }

// HandleFrame implements kernel.FrameHandler.
func (r *relay) HandleFrame(ctx context.Context, _ string, frame *wire.Frame) *wire.Frame {
	q := frame.GetReadRecords()
	s, ok := r.stores[q.GetStream()]
	if !ok {
		return &wire.Frame{Body: &wire.Frame_RecordBatch{RecordBatch: &wire.RecordBatch{}}}
	}
	wait := min(time.Duration(q.GetWaitMs())*time.Millisecond, r.waitOf(q.GetStream()))
	wake := q.GetStream() == logstream.ConfigStream
	batch := s.answer(r.clock.Now, q.GetFrom(), int(q.GetMax()), wait, wake, ctx.Done())
	return &wire.Frame{Body: &wire.Frame_RecordBatch{RecordBatch: batch}}
}

var (
	_ kernel.Relay        = (*relay)(nil)
	_ kernel.FrameHandler = (*relay)(nil)
)
