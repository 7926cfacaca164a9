package edge

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/bodies"
)

const (
	// freeReadBytes are the bytes read of a connection that are not counted, but belong to what
	// a connection takes by itself.
	freeReadBytes = 2 * readChunkBytes
	// headCopies is the number of times that the bytes of a head that is not complete are held:
	// in a buffer that grows by doubling, and by net/http.
	headCopies = 3
	// writeChunkBytes bounds one write, so that a caller that reads slowly is told from one that
	// reads nothing.
	writeChunkBytes = 16 << 10
	// arrivalStall is the time without progress after which a connection may be closed if answers
	// have arrived that have no room.
	arrivalStall = 100 * time.Millisecond
	// reliefInterval is the least time between two looks for connections to close.
	reliefInterval = 10 * time.Millisecond
	// evictedDelay is the delay before the next connection is accepted for evictedTime after one
	// was ended for what its caller did. Callers that come back at once would else take the
	// processor, and memory faster than it is collected.
	evictedDelay = time.Millisecond
	evictedTime  = 100 * time.Millisecond
	// evictionSample is the number of connections among which the one to close is looked for.
	evictionSample = 64
	// minHeadAge is the age from which a head that is not complete may be closed.
	minHeadAge = 100 * time.Millisecond
)

// Callers are the bounds of a listener for callers. The zero value has none.
type Callers struct {
	Pipelined   bool // further requests of a connection are served beside the first, see AwaitTurn
	Memory      *callermemory.Account
	Connections int           // open ones; 0 means any number
	SocketBytes int           // of a connection's send buffer in the kernel, of which its receive buffer has a quarter; 0 means the kernel's choice
	Stall       time.Duration // for which a caller may take no byte while memory is short

	Wrap func(net.Conn) net.Conn // wraps each connection that is accepted; nil for none
}

// CallersOf returns the bounds of callers' connections in the settings.
func CallersOf(set settings.Daemon, memory *callermemory.Account, pipelined bool) Callers {
	descriptors := uint64(1 << 20)
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		descriptors = limit.Cur
	}
	return Callers{
		Pipelined: pipelined, Memory: memory, Connections: set.CallerConnections(descriptors),
		SocketBytes: set.Limits.CallerSocketKB << 10, Stall: time.Duration(set.Limits.CallerStallMS) * time.Millisecond,
	}
}

// chargeReads counts the bytes that were read and not yet taken by the servers of their
// requests. If there is no room for a head, the connection ends; else no more of it is read.
// The caller holds the lock.
func (p *pipeline) chargeReads() {
	n := int64(cap(p.pending) + headCopies*cap(p.framing.held))
	for _, l := range p.lanes {
		n += int64(cap(l.unread))
	}
	if n = max(0, n-freeReadBytes); p.closed {
		n = 0
	}
	if n == p.readsCharged && !p.readsOver {
		return
	}
	p.config.memory.CountRead(n - p.readsCharged)
	p.readsCharged = n
	p.readsOver = n > 0 && !p.config.memory.ReadRoom() || p.reads.ReserveRequest(n) != callermemory.Admitted
	p.reads.SetRequest(n)
	if p.readsOver && p.feeding != nil && p.framing.part == partHead {
		p.end(endMemory)
	}
}

// write writes a part of a lane's answer whose turn it is, and counts what the connection has
// taken.
func (p *pipeline) write(l *lane, b []byte) error {
	for len(b) > 0 {
		p.setWriteSince(time.Now())
		n, err := p.conn.Write(b[:min(len(b), writeChunkBytes)])
		p.mu.Lock()
		l.taken += int64(n)
		p.mu.Unlock()
		b = b[n:]
		if err != nil {
			return err
		}
	}
	p.setWriteSince(time.Time{})
	return nil
}

func (p *pipeline) setWriteSince(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeSince = t
}

// ChargeOf returns the account of a request and its answer, or nil if its listener has none.
func ChargeOf(ctx context.Context) *callermemory.Charge {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return nil
	}
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return l.charge
}

// WithinMemory runs a request if there is memory for the answer that it is expected to have, and
// counts the answer that it gets until its connection has taken it. A refusal is of a kind that
// did not run.
func WithinMemory(ctx context.Context, req *wire.Request, run func(context.Context) (*wire.Response, error)) (*wire.Response, error) {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return run(ctx)
	}
	charge := ChargeOf(ctx)
	if by := l.reserve(ctx, charge, answer.ExpectedBytes(charge, req)); by != callermemory.Admitted {
		l.p.config.log.noRoom(l.p.conn.RemoteAddr(), by, l.p.memory.Held(), l.p.config.memory)
		return nil, answer.NoRoom(charge, by)
	}
	resp, err := run(callermemory.WithCharge(ctx, charge))
	answer.Charge(charge, req, resp)
	if config := &l.p.config; config.relieve != nil && config.memory.FarExceeded() {
		config.relieve(0)
	} else if config.relieve != nil && config.memory.Exceeded() {
		config.relieve(arrivalStall)
	}
	return resp, err
}

// reserve reserves memory for the answer to the lane's request. While the connection's bound has
// no room it waits for the answers to earlier requests. If there is none in the other bounds, it
// closes a connection whose caller does not read, or returns the bound.
func (l *lane) reserve(ctx context.Context, charge *callermemory.Charge, n int64) callermemory.Refusal {
	by := charge.Reserve(n)
	if by == callermemory.ByConnection {
		by = l.awaitRoom(ctx, func() callermemory.Refusal { return charge.Reserve(n) },
			func() callermemory.Refusal { return charge.ReserveFirst(n) })
	}
	if by == callermemory.ByEntry || by == callermemory.ByTotal {
		if relieve := l.p.config.relieve; relieve != nil && relieve(l.p.config.stall) {
			by = charge.ReserveFirst(n)
		}
	}
	return by
}

// reserveBody reserves memory for n bytes of the body of a request. While the connection's bound
// has no room it waits for the answers to earlier requests.
func reserveBody(ctx context.Context, n int64) error {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return nil
	}
	charge, n := ChargeOf(ctx), callermemory.AnswerBytes(n)
	by := charge.ReserveRequest(n)
	if by == callermemory.ByConnection {
		by = l.awaitRoom(ctx, func() callermemory.Refusal { return charge.ReserveRequest(n) },
			func() callermemory.Refusal { return charge.ReserveRequestFirst(n) })
	}
	if by != callermemory.Admitted {
		charge.CountRefusal(by)
		return bodies.ErrNoMemory
	}
	return nil
}

// awaitRoom reserves memory once the answers to earlier requests leave room for it. first
// reserves it for the first request that is not answered, which waits for no other one.
func (l *lane) awaitRoom(ctx context.Context, reserve, first func() callermemory.Refusal) callermemory.Refusal {
	p := l.p
	stop := context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.changed.Broadcast()
	})
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if len(p.order) == 0 || p.order[0] == l {
			return first()
		}
		by := reserve()
		if by != callermemory.ByConnection || p.closed || ctx.Err() != nil {
			return by
		}
		p.changed.Wait()
	}
}

// stalled returns the memory that is held for the connection, and the time for which its caller
// has taken no byte of an answer.
func (p *pipeline) stalled(now time.Time) (held int64, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.writeSince.IsZero() {
		return 0, 0
	}
	last := p.writeSince
	if c, ok := p.conn.(PacedConn); ok {
		waits, until := c.Waits()
		if waits {
			return 0, 0 // for the link's pacing, not for the caller
		}
		if until.After(last) {
			last = until
		}
	}
	return p.memory.Held(), now.Sub(last)
}

// headAge returns the time since the first byte of a head that is not complete, or of a request
// that is refused for its head.
func (p *pipeline) headAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.feeding == nil || len(p.order) != 1 || p.framing.part != partHead && !p.framing.refused {
		return 0
	}
	return now.Sub(p.feeding.received)
}

// endAs ends the connection for a reason.
func (p *pipeline) endAs(reason endReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(reason)
}

// relief limits how often connections are looked at.
type relief struct{ last atomic.Int64 }

func (r *relief) due(now time.Time) bool {
	last := r.last.Load()
	return now.UnixNano()-last >= int64(reliefInterval) && r.last.CompareAndSwap(last, now.UnixNano())
}

// relieve closes the connection that holds most for the longest time without progress, if that
// is at least stall, and reports whether there was one. It looks at most once in reliefInterval
// unless stall is 0.
func (l *pipelineListener) relieve(stall time.Duration) bool {
	now := time.Now()
	if stall > 0 && !l.relief.due(now) {
		return false
	}
	var worst *pipeline
	most := 0.0
	for _, p := range l.pipelines() {
		held, since := p.stalled(now)
		if weight := float64(held) * since.Seconds(); since >= stall && weight > most {
			worst, most = p, weight
		}
	}
	if worst == nil {
		return false
	}
	worst.endAs(endMemory)
	return true
}

// pace waits before the next accept while connections are ended for what their callers do.
func (l *pipelineListener) pace() {
	if time.Now().UnixNano()-l.lastEvicted.Load() < int64(evictedTime) {
		time.Sleep(evictedDelay)
	}
}

// admit reports whether a new connection has a place. If all are taken, it closes one that has
// sent only a part of a head for longer than others, of some that it looks at.
func (l *pipelineListener) admit() bool {
	sample, full := l.sampleIfFull()
	if !full {
		return true
	}
	now := time.Now()
	var oldest *pipeline
	longest := minHeadAge
	for _, p := range sample {
		if age := p.headAge(now); age >= longest {
			oldest, longest = p, age
		}
	}
	if oldest == nil {
		return false
	}
	oldest.endAs(endCrowded)
	return true
}

// sampleIfFull returns some of the open connections if there are as many as may be.
func (l *pipelineListener) sampleIfFull() (sample []*pipeline, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.config.connections <= 0 || len(l.open) < l.config.connections {
		return nil, false
	}
	for p := range l.open {
		if sample = append(sample, p); len(sample) == evictionSample {
			break
		}
	}
	return sample, true
}

// listenCallers listens with a send buffer of a size in the kernel for each connection, and a
// receive buffer of a quarter of it. The listening socket has them: connections that were not accepted
// yet have buffers, too, which callers that send without end fill.
func listenCallers(addr string, bytes int) (net.Listener, error) {
	config := net.ListenConfig{}
	if bytes > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var errs [3]error
			err := raw.Control(func(fd uintptr) {
				errs[0] = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/4)
				errs[1] = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
				// What the kernel has taken and the caller has not ends with the same time-out.
				errs[2] = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(WriteTimeout.Milliseconds()))
			})
			return errors.Join(err, errs[0], errs[1], errs[2])
		}
	}
	return config.Listen(context.Background(), "tcp", addr)
}
