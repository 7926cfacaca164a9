// Package relay passes log records between daemons. The daemons form a tree of small
// fan-out: a few daemons of some data centres read from the platform, and each other
// daemon reads from its parent in the tree. A daemon that cannot reach the log
// receives new records from peers in other data centres.
//
// Invariants: the control state receives the records of a stream in order and
// without gaps, also when they arrive from several sources. The time as of which
// the head of a stream is known is never later than the time at which a read
// that reports it was sent.
package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
		fx.Invoke(startSurvey, startWatch),
	)
}

const (
	// configWaitFactor is the longest wait for configuration records at a peer, as a
	// multiple of the wait of a read of the log: a daemon that reads the log learns
	// its head at that interval.
	configWaitFactor = 1.5
	// placementWait is the longest wait for placement records at a peer. The head of
	// that stream need not be known.
	placementWait = 10 * time.Second
	// parentCheckInterval is the time after which a change of the tree ends a read at a
	// peer. It is small beside the 2 s within which a key is served again after a loss.
	parentCheckInterval = 300 * time.Millisecond
	// staleChecks is the number of these checks in a row that must find the configuration
	// not known to be current before a parent counts as cut from the log. After a pause of
	// this process, the parent's answers are only just being read at the first. The next
	// one follows after staleCheckInterval.
	staleChecks        = 2
	staleCheckInterval = 100 * time.Millisecond
	// startWait is the time from its start on until which a daemon that knows no daemon of its
	// data centre leaves the platform alone after its first reads. It ends before the time
	// at which the first daemons may join (restartSpread in package control), so that no join
	// waits for it. Only deployments that gather records have it.
	startWait = 250 * time.Millisecond
	// treeDelay is the longest time from a read of placement records to the view that shows
	// them. The configuration is read that much later than the placement.
	treeDelay         = 100 * time.Millisecond
	treeCheckInterval = 20 * time.Millisecond
	// callSlack is the time that a call may take beyond the peer's wait.
	callSlack = 500 * time.Millisecond
	// retryBackoff is the time for which a peer is not asked again after a failed
	// read; up to half of it is added at random.
	retryBackoff = 4 * time.Second
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
	// surveyAfter is the time since the configuration was last known to be current,
	// above which peers of all data centres are asked every surveyInterval.
	surveyAfter, surveyInterval time.Duration
	configWait                  time.Duration // longest wait for configuration records at a peer
	startedAt                   clock.Instant
	startWait                   time.Duration // startWait, or 0 if records are not gathered

	mu           sync.Mutex
	logDown      bool                     // the last survey found the log down; only used to log changes
	source       map[string]string        // peer from which each stream is read, "" for the platform
	backoffUntil map[string]clock.Instant // by peer address
	fetching     map[string]clock.Instant // by stream: when the fetch of a survey began
	peerReads    map[*peerRead]struct{}   // in progress
}

func newRelay(set settings.Daemon, c kernel.Control, p kernel.Peers, clk clock.Clock, log *zap.Logger) *relay {
	r := &relay{
		slot: set.Slot, dataCentre: set.DataCentre, control: c, peers: p, clock: clk,
		readers:     readers{perCentre: max(set.Bounds.LogReadersPerCentre, 1), centres: set.Bounds.LogReaderCentres},
		configWait:  time.Duration(configWaitFactor * float64(set.Bounds.LogWaitMS) * float64(time.Millisecond)),
		surveyAfter: time.Duration(set.Bounds.LogStaleMS) * time.Millisecond, surveyInterval: time.Duration(set.Bounds.LogSurveyMS) * time.Millisecond,
		log: log.Named("relay"), stores: map[string]*store{}, source: map[string]string{}, backoffUntil: map[string]clock.Instant{},
		fetching: map[string]clock.Instant{}, peerReads: map[*peerRead]struct{}{}, startedAt: clk.Now(),
	}
	if set.Bounds.LogGatherMS > 0 {
		r.startWait = startWait
	}
	for _, stream := range []string{logstream.ConfigStream, logstream.PlacementStream(set.Region)} {
		r.stores[stream] = newStore(stream, c.Post)
	}
	return r
}

// NextOffset implements kernel.Relay.
func (r *relay) NextOffset(stream string) uint64 { return r.stores[stream].position() }

// Apply implements kernel.Relay.
func (r *relay) Apply(stream string, from uint64, batch logstream.Batch, asOf clock.Instant) {
	r.apply(stream, r.sourceOf(stream), from, batch, asOf)
}

// apply applies the answer to a read. It logs the configuration records that the read
// brought, with the peer from which they came, "" for the platform.
func (r *relay) apply(stream, source string, from uint64, batch logstream.Batch, asOf clock.Instant) {
	added := r.stores[stream].apply(from, batch, asOf)
	if stream != logstream.ConfigStream || len(added) == 0 {
		return
	}
	bytes := 0
	for _, e := range added {
		bytes += len(e.Data)
	}
	r.log.Info("configuration read", zap.String("from", cmp.Or(source, "platform")),
		zap.Uint64("first", added[0].Offset), zap.Uint64("last", added[len(added)-1].Offset), zap.Uint64("next", batch.Next),
		zap.Int("bytes", bytes), zap.Duration("head_age", r.clock.Now().Sub(asOf)))
}

// sourceOf returns the peer from which a stream was last read, "" for the platform.
func (r *relay) sourceOf(stream string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source[stream]
}

// Reset implements kernel.Relay. All streams are in the same log, so that a new era of one
// is that of the others.
func (r *relay) Reset(stream string, first uint64) {
	if !r.stores[stream].reset(first) {
		return
	}
	era := logstream.EraOf(first)
	for name, other := range r.stores {
		if name != stream && logstream.EraOf(other.position()) < era {
			other.reset(logstream.Position(era, 1))
		}
	}
}

// Restored implements kernel.Relay.
func (r *relay) Restored(stream string) <-chan struct{} { return r.stores[stream].restoredSignal() }

// errParentChanged ends a read at a peer that is not to be read from any more.
var errParentChanged = errors.New("relay: the parent has changed")

// Read implements kernel.Relay.
func (r *relay) Read(ctx context.Context, stream string, from uint64) (logstream.Batch, clock.Instant, error) {
	for {
		batch, asOf, err := r.readParent(ctx, stream, from)
		if !errors.Is(err, errParentChanged) {
			return batch, asOf, err
		}
	}
}

// readParent reads from the present parent. The error is errParentChanged if another read must
// begin at once.
func (r *relay) readParent(ctx context.Context, stream string, from uint64) (logstream.Batch, clock.Instant, error) {
	addr := r.parent()
	if addr != "" && (!r.canAsk(addr) || stream == logstream.ConfigStream && r.configStale()) {
		addr = "" // the peer may be the one that cannot reach the log
	}
	r.logSource(stream, addr)
	if addr == "" {
		if r.awaitTree(ctx, stream) {
			return logstream.Batch{}, 0, errParentChanged
		}
		return logstream.Batch{}, 0, kernel.ErrNoPeer
	}
	asking, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	read := &peerRead{addr: addr, stop: stop}
	r.watch(read)
	defer r.unwatch(read)
	batch, asOf, err := r.ask(asking, addr, stream, from, maxAnswerRecords, r.maxWait(stream))
	if errors.Is(err, logstream.ErrRestored) {
		return batch, 0, err
	}
	if err != nil && errors.Is(context.Cause(asking), errParentChanged) {
		return logstream.Batch{}, 0, errParentChanged
	}
	if err != nil {
		r.backOff(addr)
		r.logSource(stream, "")
		r.log.Info("cannot read records from peer", zap.String("peer", addr), zap.Error(err))
	}
	return batch, asOf, err
}

// awaitTree delays the second and later reads of the platform by a daemon that has just
// started and knows no daemon of its data centre, so that one read returns the announcements
// of all that start with it, and most need no further one. It reports whether there is a
// parent now.
func (r *relay) awaitTree(ctx context.Context, stream string) bool {
	until := r.startedAt.Add(r.startWait)
	if stream == logstream.ConfigStream {
		until = until.Add(treeDelay)
	}
	waited := false
	for r.startWait > 0 && r.stores[stream].completeAsOf() != 0 && r.clock.Now() < until && len(inDataCentre(r.treeMembers(), r.dataCentre)) == 0 {
		waited = true
		select {
		case <-ctx.Done():
			return false
		case <-time.After(treeCheckInterval):
		}
	}
	return waited && r.parent() != ""
}

// peerRead is a read at a peer that is in progress.
type peerRead struct {
	addr  string
	stop  context.CancelCauseFunc
	stale int // consecutive checks that found the configuration not known to be current
}

func (r *relay) watch(read *peerRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerReads[read] = struct{}{}
}

func (r *relay) unwatch(read *peerRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peerReads, read)
}

func startWatch(lc fx.Lifecycle, r *relay) { kernel.Background(lc, r.watchLoop) }

// watchLoop checks the reads at peers that are in progress.
func (r *relay) watchLoop(ctx context.Context) {
	interval := parentCheckInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		interval = parentCheckInterval
		if r.configStale() {
			interval = staleCheckInterval
		}
		r.mu.Lock()
		reads := slices.Collect(maps.Keys(r.peerReads))
		r.mu.Unlock()
		for _, read := range reads {
			r.checkRead(read)
		}
	}
}

// checkRead stops a read at a peer if the next one must go elsewhere. If the parent has
// changed, the peer may follow this daemon by now, and neither would learn of new records
// until the read ends. A parent that is one of the few daemons of the region that read from
// the platform gets a backoff when the configuration is not known to be current for long:
// nobody else may read the other streams.
func (r *relay) checkRead(read *peerRead) {
	if !r.configStale() {
		read.stale = 0
	} else if read.stale++; read.stale == staleChecks && r.configStore().completeAsOf() != 0 && r.readsPlatform(read.addr) {
		r.log.Info("peer does not read the log in time", zap.String("peer", read.addr))
		r.backOff(read.addr)
	}
	if r.parent() != read.addr || !r.canAsk(read.addr) {
		read.stop(errParentChanged)
	}
}

// readsPlatform reports whether a peer is one of the few daemons of the region that read from
// the platform. It reports false where each data centre has some.
func (r *relay) readsPlatform(addr string) bool {
	if r.readers.centres == 0 {
		return false
	}
	daemons := r.treeMembers()
	i := slices.IndexFunc(daemons, func(d view.Daemon) bool { return d.PeerAddr == addr })
	return i >= 0 && r.readers.parent(daemons, daemons[i].Slot, daemons[i].DataCentre) == ""
}

// parent returns the address of the peer that this daemon follows, "" if it reads from the
// platform.
func (r *relay) parent() string { return r.readers.parent(r.treeMembers(), r.slot, r.dataCentre) }

// treeMembers returns the daemons that form the tree: those in service, or, in a
// data centre that is starting, all that have announced themselves.
func (r *relay) treeMembers() []view.Daemon {
	v := r.control.View()
	if len(v.Starting) > 0 {
		return v.Starting
	}
	return v.Daemons
}

// logSource logs the source of a stream when it changes.
func (r *relay) logSource(stream, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if previous, ok := r.source[stream]; ok && previous == addr {
		return
	}
	r.source[stream] = addr
	r.log.Info("reading", zap.String("stream", stream), zap.String("from", cmp.Or(addr, "platform")))
}

// maxWait returns the longest wait for records of a stream at a peer.
func (r *relay) maxWait(stream string) time.Duration {
	if stream == logstream.ConfigStream {
		return r.configWait
	}
	return placementWait
}

// canAsk reports whether the backoff of a peer has ended.
func (r *relay) canAsk(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() >= r.backoffUntil[addr]
}

// backOff starts the backoff of a peer and drops those that have ended.
func (r *relay) backOff(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for other, until := range r.backoffUntil {
		if now >= until {
			delete(r.backoffUntil, other)
		}
	}
	r.backoffUntil[addr] = now.Add(retryBackoff + rand.N(retryBackoff/2))
}

// ask reads up to limit records from a peer, which waits up to wait for new ones. With limit
// 0 it asks for the head only. Records that arrive meanwhile from another source are left
// out of the batch. The returned time
// is that as of which the peer knew the head, on this host's clock, or 0 if it
// never did. The peer reports how old its knowledge of the head was when the request
// arrived. Subtracted from the time at which the request was sent, this age gives a
// time that is never too late.
func (r *relay) ask(ctx context.Context, addr, stream string, from uint64, limit uint32, wait time.Duration) (logstream.Batch, clock.Instant, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	sent := r.clock.Now()
	frame, err := r.peers.Call(ctx, addr, &wire.Frame{Body: &wire.Frame_ReadRecords{ReadRecords: &wire.ReadRecords{
		Stream: stream, From: from, Max: limit, WaitMs: uint32(wait.Milliseconds()), AcceptDeflate: true}}})
	if err != nil {
		return logstream.Batch{}, 0, fmt.Errorf("relay: %s: %w", addr, err)
	}
	answer := frame.GetRecordBatch()
	switch {
	case answer == nil || answer.GetStream() != stream:
		return logstream.Batch{}, 0, fmt.Errorf("relay: %s: expected a batch of records of the requested stream, got another frame or stream", addr)
	case logstream.EraOf(answer.GetFirst()) > logstream.EraOf(from):
		first := answer.GetFirst()
		if logstream.OffsetOf(from) == 1 { // a daemon that has read nothing needs the stream from its beginning
			first = logstream.Position(logstream.EraOf(first), 1)
		}
		return logstream.Batch{First: first}, 0, fmt.Errorf("relay: %s: %w", addr, logstream.ErrRestored)
	case logstream.EraOf(answer.GetFirst()) < logstream.EraOf(from):
		return logstream.Batch{}, 0, fmt.Errorf("relay: %s reads an earlier era of the log", addr)
	case answer.GetFirst() > from:
		return logstream.Batch{}, 0, fmt.Errorf("relay: %s holds no records before %d: %w", addr, answer.GetFirst(), logstream.ErrTrimmed)
	}
	batch := logstream.Batch{First: answer.GetFirst(), Next: answer.GetNext()}
	known := r.stores[stream].position()
	for _, e := range answer.GetEntries() {
		if e.GetOffset() < known {
			continue
		}
		data, err := recordOf(e)
		if err != nil {
			return logstream.Batch{}, 0, fmt.Errorf("relay: %s: %w", addr, err)
		}
		batch.Records = append(batch.Records, logstream.Entry{Offset: e.GetOffset(), Data: data})
		r.stores[stream].keepCompressed(e)
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
	req := frame.GetReadRecords()
	s, ok := r.stores[req.GetStream()]
	if !ok {
		return &wire.Frame{Body: &wire.Frame_RecordBatch{RecordBatch: &wire.RecordBatch{}}}
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, r.maxWait(req.GetStream()))
	wake := req.GetStream() == logstream.ConfigStream
	batch := s.poll(r.clock.Now, req.GetFrom(), int(req.GetMax()), wait, wake, ctx.Done())
	if req.GetAcceptDeflate() {
		s.deflate(batch)
	}
	return &wire.Frame{Body: &wire.Frame_RecordBatch{RecordBatch: batch}}
}

var (
	_ kernel.Relay        = (*relay)(nil)
	_ kernel.FrameHandler = (*relay)(nil)
)
