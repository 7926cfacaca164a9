package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// serverLink is the answering end of a link.
type serverLink struct {
	*pipe
	srv  *server
	from string
	ctx  context.Context // ends when run returns
	stop context.CancelFunc

	late lateRequests

	mu      sync.Mutex
	running map[uint64]context.CancelFunc // by frame id
}

func newServerLink(s *server, conn net.Conn, from string) *serverLink {
	ctx, stop := context.WithCancel(s.ctx)
	l := &serverLink{
		pipe: newPipe(conn), srv: s, from: from, ctx: ctx, stop: stop,
		running: map[uint64]context.CancelFunc{},
	}
	l.late.clock, l.late.ping = s.clock, l.pingPeer
	return l
}

// run answers frames until the link ends. It then cancels the running requests,
// since their answers can no longer be sent.
func (l *serverLink) run() {
	defer l.stop()
	defer l.shut()
	r := newFrameReader(l.pipe)
	if err := l.handshake(r); err != nil {
		l.srv.reportMalformed(l.from, err)
		return
	}
	go l.writeLoop()
	l.srv.addLink(l)
	defer l.srv.removeLink(l)
	for {
		frame, size, err := r.next()
		if err == nil {
			err = l.receive(frame, size)
		}
		if err != nil {
			l.srv.reportMalformed(l.from, err)
			return
		}
	}
}

// handshake exchanges hellos within helloTimeout.
func (l *serverLink) handshake(r *frameReader) error {
	if err := l.conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	frame, _, err := r.next()
	if err != nil {
		return err
	}
	if err := checkHello(frame); err != nil {
		return err
	}
	hello := &wire.Hello{
		Slot: l.srv.hello.GetSlot(), DataCentre: l.srv.hello.GetDataCentre(),
		ProtocolVersion: protocolVersion, ClockUs: l.clockUs(),
	}
	data, err := encode(&wire.Frame{Id: frame.GetId(), Body: &wire.Frame_Hello{Hello: hello}})
	if err != nil {
		return err
	}
	defer recycle(data)
	if _, err := l.conn.Write(*data); err != nil {
		return err
	}
	return l.conn.SetDeadline(time.Time{})
}

// receive handles one frame after the hello. An error ends the link.
func (l *serverLink) receive(frame *wire.Frame, size int) error {
	l.srv.config.ObservePeer(frame.GetConfigNext(), l.srv.clock.Now())
	switch frame.GetBody().(type) {
	case *wire.Frame_Cancel:
		l.cancelRunning(frame.GetId())
		return nil
	case *wire.Frame_Ping:
		pong := &wire.Pong{ClockUs: l.clockUs()}
		l.reply(frame, &wire.Frame{Body: &wire.Frame_Pong{Pong: pong}})
		return nil
	case *wire.Frame_Pong:
		l.late.answered(frame.GetTag())
		return nil
	case nil:
		return outcome.New(outcome.Malformed, "frame has no known body")
	}
	return l.start(frame, size)
}

// start handles a frame on a goroutine of its own. It refuses the frame after its
// deadline and beyond the bounds of the link and the server. The error, for a
// frame id in use, ends the link.
func (l *serverLink) start(frame *wire.Frame, size int) error {
	ctx, cancel, inTime := l.frameContext(frame)
	if !inTime {
		cancel()
		l.refuse(frame, outcome.New(outcome.DeadlineNotRun, "frame arrived after its deadline"))
		return nil
	}
	l.mu.Lock()
	_, dup := l.running[frame.GetId()]
	full := len(l.running) >= maxRunning
	if !dup && !full {
		l.running[frame.GetId()] = cancel
	}
	l.mu.Unlock()
	if dup {
		cancel()
		return outcome.New(outcome.Malformed, "frame id %d is already in use", frame.GetId())
	}
	if full {
		cancel()
		l.refuse(frame, outcome.New(outcome.Overloaded, "link already has %d running frames", maxRunning))
		return nil
	}
	charge, err := l.srv.chargeRequest(frame, size)
	if err == nil {
		err = l.srv.begin(frame, size)
	}
	if err != nil {
		charge.Release()
		l.cancelRunning(frame.GetId())
		l.refuse(frame, err)
		return nil
	}
	go func() {
		defer charge.Release() // the answer is written, or the link has ended
		l.answer(callermemory.WithCharge(ctx, charge), frame, size)
	}()
	return nil
}

// frameContext returns the context of a frame, and false if its deadline has
// passed. The deadline is on this host's clock.
func (l *serverLink) frameContext(frame *wire.Frame) (context.Context, context.CancelFunc, bool) {
	us := frame.GetDeadlineUs()
	if us <= 0 {
		ctx, cancel := context.WithCancel(l.ctx)
		return ctx, cancel, true
	}
	remaining := time.Duration(us-l.clockUs()) * time.Microsecond
	ctx, cancel := context.WithTimeout(l.ctx, remaining)
	return ctx, cancel, remaining > 0
}

// answer handles a frame and sends the answer. The frame counts as running until
// the answer is written or the link ends.
func (l *serverLink) answer(ctx context.Context, frame *wire.Frame, size int) {
	defer l.cancelRunning(frame.GetId())
	written := make(chan struct{})
	defer l.srv.finish(frame, size)
	answer := l.handle(ctx, frame)
	if answer == nil {
		return
	}
	if l.send(frame, answer, written) {
		select {
		case <-written:
		case <-l.closed:
		}
	}
	select {
	case <-written:
		return
	default:
	}
	l.logUnwritten(frame.GetRequest(), answer.GetResponse())
}

// logUnwritten logs that a link ended before the whole answer to a request was written.
func (l *serverLink) logUnwritten(req *wire.Request, resp *wire.Response) {
	if req == nil {
		return
	}
	l.srv.log.Warn("answer not passed on",
		zap.String("request_id", req.GetRequestId()),
		zap.Uint32("attempt", req.GetAttempt()),
		zap.Stringer("outcome", outcome.Kind(resp.GetKind())),
		zap.Int("body_bytes", len(resp.GetBody())),
		zap.String("from", l.from))
}

// handle returns the answer to a frame, or nil if there is none. The handler does not
// run if the context has ended.
func (l *serverLink) handle(ctx context.Context, frame *wire.Frame) *wire.Frame {
	l.awaitPresent(ctx, frame)
	if ctx.Err() != nil {
		return refusal(frame, notRunError(ctx))
	}
	return l.srv.handle(ctx, l.from, frame)
}

// refuse answers a request that did not run. Other frames get no answer.
func (l *serverLink) refuse(frame *wire.Frame, err *outcome.Err) {
	if answer := refusal(frame, err); answer != nil {
		l.reply(frame, answer)
	}
}

// reply queues a small answer ahead of the others, also while the queue is full. Beyond
// maxReplies it waits for room, so that the peer sends no more.
func (l *serverLink) reply(frame, answer *wire.Frame) {
	answer.ConfigNext = l.srv.config.Next()
	data, err := encodeAnswer(frame, answer)
	if err != nil {
		return
	}
	if l.postedFrames() < maxReplies {
		l.post(outFrame{data: data})
		return
	}
	select {
	case l.out <- outFrame{data: data}:
	case <-l.closed:
	}
}

// refusal returns the answer to a request that did not run, or nil for other frames.
func refusal(frame *wire.Frame, err *outcome.Err) *wire.Frame {
	if frame.GetRequest() == nil {
		return nil
	}
	resp := &wire.Response{Kind: uint32(err.Kind), Status: uint32(err.Kind.Answer().Status), Detail: err.Detail}
	return &wire.Frame{Body: &wire.Frame_Response{Response: resp}}
}

// send queues the answer to a frame and reports whether it did. It waits for room in
// the queue. written is closed once the answer is written to the connection. An answer
// that cannot be encoded is replaced by a response of kind outcome.AnswerTooLarge.
func (l *serverLink) send(frame, answer *wire.Frame, written chan struct{}) bool {
	answer.ConfigNext = l.srv.config.Next()
	data, err := encodeAnswer(frame, answer)
	if err != nil {
		tooLarge := &wire.Response{Kind: uint32(outcome.AnswerTooLarge), Detail: err.Error()}
		data, err = encodeAnswer(frame, &wire.Frame{Body: &wire.Frame_Response{Response: tooLarge}})
	}
	if err != nil {
		return false
	}
	out := outFrame{data: data, sent: func() { close(written) }}
	if l.bulk.takes(answer, data) {
		return l.postBulk(rankOf(frame.GetRequest()), out)
	}
	select {
	case l.out <- out:
		return true
	case <-l.closed:
		return false
	}
}

// encodeAnswer encodes an answer with the id and tag of the frame it answers.
func encodeAnswer(frame, answer *wire.Frame) (*[]byte, error) {
	answer.Id = frame.GetId()
	answer.Tag = frame.GetTag()
	return encode(answer)
}

// cancelRunning cancels the context of a frame and removes it from the running
// frames, if it is one of them.
func (l *serverLink) cancelRunning(id uint64) {
	l.mu.Lock()
	cancel, ok := l.running[id]
	delete(l.running, id)
	l.mu.Unlock()
	if ok {
		cancel()
	}
}

// clockUs returns the reading of this host's clock in microseconds.
func (l *serverLink) clockUs() int64 { return microseconds(l.srv.clock.Now()) }

func microseconds(at clock.Instant) int64 { return int64(at) / int64(time.Microsecond) }
