package peer

import (
	"context"
	"time"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// releaseTimeout bounds the exchange of one release message and its answer.
const releaseTimeout = 1 * time.Second

// releases carries release messages between the control states of daemons.
type releases struct {
	peers   kernel.Peers
	control kernel.Control
	pending kernel.PendingReplies[*wire.ReleaseAnswer]
}

func newReleases(p kernel.Peers, c kernel.Control) *releases {
	return &releases{peers: p, control: c}
}

// HandleEffect implements kernel.EffectHandler.
func (r *releases) HandleEffect(effect control.Effect) {
	switch e := effect.(type) {
	case control.SendRelease:
		go r.send(e)
	case control.AnswerRelease:
		r.pending.Answer(e.Ticket, e.Answer)
	}
}

// send sends a release message and posts its answer, or the lack of one, to the
// control state.
func (r *releases) send(e control.SendRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	answered := control.ReleaseAnswered{Shard: e.Shard, Generation: e.Msg.GetRef().GetGeneration(), ReadinessCheck: e.Msg.GetOwner() == 0}
	frame, err := r.peers.Call(ctx, e.PeerAddr, &wire.Frame{Body: &wire.Frame_Release{Release: e.Msg}})
	if err != nil {
		answered.NoAnswer = true
		answered.Reason = err.Error()
	} else {
		answered.Accepted = frame.GetReleaseAnswer().GetAccepted()
		answered.Reason = frame.GetReleaseAnswer().GetReason()
	}
	r.control.Post(answered)
}

// Handles implements kernel.FrameHandler.
func (r *releases) Handles(frame *wire.Frame) bool { return frame.GetRelease() != nil }

// HandleFrame implements kernel.FrameHandler.
func (r *releases) HandleFrame(ctx context.Context, _ string, frame *wire.Frame) *wire.Frame {
	answer, ok := r.pending.Await(ctx, func(ticket uint64) {
		r.control.Post(control.ReleaseReceived{Msg: frame.GetRelease(), Ticket: ticket})
	})
	if !ok {
		return nil
	}
	return &wire.Frame{Body: &wire.Frame_ReleaseAnswer{ReleaseAnswer: answer}}
}

var (
	_ kernel.EffectHandler = (*releases)(nil)
	_ kernel.FrameHandler  = (*releases)(nil)
)
