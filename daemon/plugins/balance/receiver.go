package balance

import (
	"context"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// receiver passes the load reports of members to the control state and returns its
// replies.
type receiver struct {
	control kernel.Control
	pending kernel.PendingReplies[*wire.LoadAnswer]
}

func newReceiver(c kernel.Control) *receiver { return &receiver{control: c} }

// HandleEffect implements kernel.EffectHandler.
func (r *receiver) HandleEffect(effect control.Effect) {
	if e, ok := effect.(control.AnswerLoad); ok {
		r.pending.Answer(e.Ticket, e.Answer)
	}
}

// Handles implements kernel.FrameHandler.
func (r *receiver) Handles(frame *wire.Frame) bool { return frame.GetLoadReport() != nil }

// HandleFrame implements kernel.FrameHandler.
func (r *receiver) HandleFrame(ctx context.Context, _ string, frame *wire.Frame) *wire.Frame {
	reply, ok := r.pending.Await(ctx, func(ticket uint64) {
		r.control.Post(control.LoadReceived{Report: frame.GetLoadReport(), Ticket: ticket})
	})
	if !ok {
		return nil
	}
	return &wire.Frame{Body: &wire.Frame_LoadAnswer{LoadAnswer: reply}}
}

var (
	_ kernel.EffectHandler = (*receiver)(nil)
	_ kernel.FrameHandler  = (*receiver)(nil)
)
