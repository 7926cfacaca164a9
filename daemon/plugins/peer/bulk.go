package peer

import (
	"net"
	"slices"
	"sync"

	"github.com/sesamemoor/sesamemoor/core/link"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

// Large requests and responses are written in pieces, each when the pacer of the daemon's link
// grants it. Frames of a link are written one after the other, so that a session with a limited
// network link has a link of its own for them, opened with the first one: other frames pass them
// between two pieces. A daemon of an earlier version accepts that link too, and answers on it.

// bulkQueue holds the large frames of a pipe that are not written yet.
type bulkQueue struct {
	pacer *pacing.Pacer // not limited or nil: there are no such frames
	wrote func()        // called for each piece

	mu       sync.Mutex
	frames   []*bulkFrame // by rank, then in the order of their arrival
	awaiting *bulkFrame   // has asked for its first piece
	ended    bool
}

// bulkFrame is a large frame with its transfer over the network link.
type bulkFrame struct {
	outFrame
	rank     int64
	transfer *pacing.Transfer
}

// takes reports whether an encoded frame is to be queued as bulk.
func (q *bulkQueue) takes(frame *wire.Frame, data *[]byte) bool {
	return len(*data) >= link.Large && q.pacer.Limited() && (frame.GetRequest() != nil || frame.GetResponse() != nil)
}

// add queues a frame. It returns false once the pipe has ended.
func (q *bulkQueue) add(rank int64, f outFrame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended {
		return false
	}
	b := &bulkFrame{outFrame: f, rank: rank, transfer: q.pacer.Offer(rank, len(*f.data))}
	i := slices.IndexFunc(q.frames, func(other *bulkFrame) bool { return other.rank > rank })
	if i < 0 {
		i = len(q.frames)
	}
	q.frames = slices.Insert(q.frames, i, b)
	return true
}

// await lets the first frame ask for its first piece, and returns the frame with the channel of
// the grant. Both are nil if there is none.
func (q *bulkQueue) await() (*bulkFrame, <-chan int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		return nil, nil
	}
	first := q.frames[0]
	if q.awaiting != nil && q.awaiting != first {
		q.awaiting.transfer.Withhold()
	}
	q.awaiting = first
	return first, first.transfer.Await()
}

// remove removes a frame.
func (q *bulkQueue) remove(b *bulkFrame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.frames = slices.DeleteFunc(q.frames, func(other *bulkFrame) bool { return other == b })
	if q.awaiting == b {
		q.awaiting = nil
	}
}

// end ends the transfers of all frames and accepts no more.
func (q *bulkQueue) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
	for _, b := range q.frames {
		b.transfer.End()
		recycle(b.data)
	}
	q.frames = nil
}

// postBulk queues a large frame for the writer. It returns false once the pipe has ended.
func (p *pipe) postBulk(rank int64, f outFrame) bool {
	if !p.bulk.add(rank, f) {
		return false
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return true
}

// writeBulk writes a large frame whose first piece was granted. The frames that wait in the queue
// are written before it.
func (p *pipe) writeBulk(b *bulkFrame, piece int) error {
	p.bulk.remove(b)
	defer recycle(b.data)
	defer b.transfer.End()
	if err := p.writeWaiting(); err != nil {
		return err
	}
	if b.call != nil && !(b.call.buffer() && b.call.advance(callWritten)) {
		return nil // withdrawn; nothing of it was written
	}
	for rest := *b.data; ; {
		if p.bulk.wrote != nil {
			p.bulk.wrote()
		}
		if err := p.write(rest[:piece]); err != nil {
			return err
		}
		if rest = rest[piece:]; len(rest) == 0 {
			break
		}
		select {
		case piece = <-b.transfer.Await():
		case <-p.closed:
			return errPipeClosed
		}
	}
	if b.sent != nil {
		b.sent()
	}
	return nil
}

// writeWaiting writes the small frames that are queued.
func (p *pipe) writeWaiting() error {
	if err := p.writeBatch(p.takePosted()...); err != nil {
		return err
	}
	for {
		select {
		case f := <-p.out:
			if err := p.writeBatch(f); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// rankOf returns the rank of a request and its response on the network link.
func rankOf(req *wire.Request) int64 {
	return link.ResponseRank(req.GetNested(), req.GetPriority(), req.GetTargetMs() < 0)
}

// trackBulk returns the pacer for a connection of a session, or nil if it does not use the
// network link, and functions for each piece and for the end of the connection.
func trackBulk(p *pacing.Pacer, conn net.Conn) (pacer *pacing.Pacer, wrote, stop func()) {
	if !p.Limited() || pacing.SameHost(conn) {
		return nil, nil, func() {}
	}
	wrote, stop = p.Track(conn)
	return p, wrote, stop
}
