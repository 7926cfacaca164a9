package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

const (
	// idleTimeout is the time without calls after which a session is closed.
	idleTimeout = 30 * time.Second
	// minRedialDelay and maxRedialDelay bound the delay after a failed dial, before
	// jitter; it doubles with each failure in a row.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 1 * time.Second
	// maxSendAttempts is the number of sessions that a frame is tried on, as long as
	// it provably was not sent.
	maxSendAttempts = 2
	// unreachableWait bounds the wait of a call for a session with a peer that was
	// last found unreachable. The dial continues afterwards.
	unreachableWait = 100 * time.Millisecond
)

// network calls peers over one session with each.
type network struct {
	log     *zap.Logger
	clock   clock.Clock
	config  *view.Freshness // of this daemon
	metrics *instruments
	dialer  net.Dialer
	hello   *wire.Hello
	pacer   *pacing.Pacer // of the network link; set before start
	stop    chan struct{}

	mu               sync.Mutex
	peers            map[string]*remote
	drainingSessions []*session // with peers that are stopping, until the last answer
}

// remote is the state of one peer address.
type remote struct {
	dial        *dialAttempt
	failures    int
	unreachable bool          // the last dial failed, or the last session was unresponsive
	nextDial    clock.Instant // earliest time of the next dial
}

// dialAttempt is an attempt to open a session, and the session once it is open.
type dialAttempt struct {
	ready   chan struct{} // closed when session or err is set
	session *session
	err     error
}

// newNetwork returns a network that dials from the IP address of the daemon's
// own peer address.
func newNetwork(set settings.Daemon, clk clock.Clock, config *view.Freshness, m *instruments, log *zap.Logger) (*network, error) {
	host, _, err := net.SplitHostPort(set.PeerAddr)
	if err != nil {
		return nil, fmt.Errorf("peer: own address: %w", err)
	}
	return &network{
		log:     log.Named("peer"),
		clock:   clk,
		config:  config,
		metrics: m,
		dialer:  net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}},
		hello:   &wire.Hello{Slot: set.Slot, DataCentre: set.DataCentre, ProtocolVersion: protocolVersion},
		stop:    make(chan struct{}),
		peers:   map[string]*remote{},
	}, nil
}

func startNetwork(lc fx.Lifecycle, n *network) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go n.watch()
			return nil
		},
		OnStop: func(context.Context) error {
			close(n.stop)
			n.closeAll()
			return nil
		},
	})
}

// Call implements kernel.Peers.
func (n *network) Call(ctx context.Context, addr string, frame *wire.Frame) (*wire.Frame, error) {
	for attempt := 1; ; attempt++ {
		s, err := n.session(ctx, addr)
		if err != nil {
			return nil, err
		}
		answer, err := n.callOn(ctx, addr, s, frame)
		if !errors.Is(err, errNotSent) || attempt == maxSendAttempts {
			return answer, err
		}
	}
}

// callOn calls over one session. In two cases it sends a request only after the peer
// has answered a ping. On a stale link this applies to requests that must not run
// twice: they could not be sent again if the link were broken. On a link with an
// unanswered ping it applies to all requests, since the peer does not answer earlier
// calls either.
func (n *network) callOn(ctx context.Context, addr string, s *session, frame *wire.Frame) (*wire.Frame, error) {
	l, err := s.link(frame)
	if err != nil {
		return nil, err
	}
	l.touch()
	req := frame.GetRequest()
	mustConfirm := !req.GetIdempotent() && l.stale() || l.pingUnanswered.Load()
	if req != nil && mustConfirm {
		if err := n.confirm(ctx, addr, s, l.pinged()); err != nil {
			return nil, err
		}
	}
	return l.call(ctx, frame)
}

// confirm pings a peer and waits for its answer, until ctx ends at most. The ping goes on
// without ctx: if it has no answer within confirmTimeout, the session is closed, also if all
// requests have less time.
func (n *network) confirm(ctx context.Context, addr string, s *session, l *clientLink) error {
	answered := make(chan bool, 1)
	go func() {
		ok := l.confirm(context.Background(), confirmTimeout)
		if !ok && s.usable() { // else answers from before the peer's leave notice may be under way
			n.markUnreachable(addr)
			n.drop(s, "no answer to a ping")
		}
		answered <- ok
	}()
	select {
	case ok := <-answered:
		if !ok {
			return errNotSent
		}
		return nil
	case <-ctx.Done():
		return notRunError(ctx)
	}
}

// session returns the session with a peer. It waits for it to be opened.
func (n *network) session(ctx context.Context, addr string) (*session, error) {
	d, unreachable, err := n.dialAttempt(addr)
	if err != nil {
		return nil, err
	}
	if err := d.wait(ctx, unreachable); err != nil {
		return nil, err
	}
	if d.err != nil {
		return nil, outcome.New(outcome.OwnerUnreachable, "%s: %v", addr, d.err)
	}
	return d.session, nil
}

// wait waits until the attempt is complete, for an unreachable peer at most for
// unreachableWait.
func (d *dialAttempt) wait(ctx context.Context, unreachable bool) error {
	var timeout <-chan time.Time
	if unreachable {
		timer := time.NewTimer(unreachableWait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-d.ready:
		return nil
	case <-timeout:
		return outcome.New(outcome.OwnerUnreachable, "peer is unreachable: no session within %v", unreachableWait)
	case <-ctx.Done():
		return notRunError(ctx)
	}
}

// dialAttempt returns the current attempt, or starts a new one if that is
// unusable. It fails before the end of the delay after the last failure.
// unreachable reports whether the peer was last found unreachable.
func (n *network) dialAttempt(addr string) (d *dialAttempt, unreachable bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.peers[addr]
	if !ok {
		r = &remote{}
		n.peers[addr] = r
	}
	if r.dial != nil && !r.dial.unusable() {
		return r.dial, r.unreachable, nil
	}
	if n.clock.Now().Before(r.nextDial) {
		return nil, true, outcome.New(outcome.OwnerUnreachable, "%s: delay before the next dial", addr)
	}
	r.dial = &dialAttempt{ready: make(chan struct{})}
	go n.connect(addr, r, r.dial)
	return r.dial, r.unreachable, nil
}

// unusable reports whether the attempt failed, or its session ended or is
// draining.
func (d *dialAttempt) unusable() bool {
	select {
	case <-d.ready:
		return d.err != nil || !d.session.usable()
	default:
		return false
	}
}

// connect dials a peer, opens a session and completes the attempt.
func (n *network) connect(addr string, r *remote, d *dialAttempt) {
	defer close(d.ready)
	conn, err := n.dialer.Dial("tcp", addr)
	if err == nil {
		d.session, err = openPacedSession(conn, n.pacer, n.hello, n.clock, n.config, n.log, n.trackDraining)
	}
	d.err = err
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		r.failures = 0
		r.unreachable = false
		return
	}
	r.failures++
	r.unreachable = true
	r.nextDial = n.clock.Now().Add(redialDelay(r.failures))
}

// redialDelay returns the delay after a number of failures in a row: a random
// time between half of the exponential delay and all of it.
func redialDelay(failures int) time.Duration {
	delay := minRedialDelay << min(failures-1, 10)
	delay = min(delay, maxRedialDelay)
	return delay/2 + rand.N(delay/2)
}

// watch checks all sessions every checkInterval until the network stops.
func (n *network) watch() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			n.check()
		}
	}
}

// check closes unresponsive and idle sessions. The cause may affect other
// sessions too, so these are probed when one is unconfirmed or unresponsive.
func (n *network) check() {
	now := n.clock.Now()
	n.checkDraining(now)
	live := n.sessions(now)
	worst := healthy
	for addr, s := range live {
		state := s.check(now)
		worst = max(worst, state)
		switch {
		case state == unresponsive:
			n.metrics.unresponsive()
			n.markUnreachable(addr)
			n.drop(s, "peer "+addr+" is unresponsive")
		case s.idle(now):
			s.close()
		}
	}
	if worst == healthy {
		return
	}
	for _, s := range dueProbes(now, slices.Collect(maps.Values(live))) {
		s.probe(now)
	}
}

// trackDraining adds a session whose peer is stopping to those that
// checkDraining checks.
func (n *network) trackDraining(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drainingSessions = append(n.drainingSessions, s)
}

// checkDraining closes the sessions of stopping peers that are unresponsive.
func (n *network) checkDraining(now clock.Instant) {
	n.mu.Lock()
	n.drainingSessions = slices.DeleteFunc(n.drainingSessions, func(s *session) bool { return !s.alive() })
	drainingSessions := slices.Clone(n.drainingSessions)
	n.mu.Unlock()
	for _, s := range drainingSessions {
		if s.check(now) == unresponsive {
			n.drop(s, "stopping peer is unresponsive")
		}
	}
}

// sessions returns the usable sessions by peer address. It drops addresses
// without one whose redial delay ended more than idleTimeout ago.
func (n *network) sessions(now clock.Instant) map[string]*session {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := make(map[string]*session, len(n.peers))
	for addr, r := range n.peers {
		switch {
		case r.dial == nil || r.dial.unusable():
			if now.Sub(r.nextDial) > idleTimeout {
				delete(n.peers, addr)
			}
		case r.dial.completed():
			live[addr] = r.dial.session
		}
	}
	n.metrics.setSessions(len(live))
	return live
}

// completed reports whether the attempt succeeded or failed.
func (d *dialAttempt) completed() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

// markUnreachable records that a peer's session was unresponsive.
func (n *network) markUnreachable(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.peers[addr]; ok {
		r.unreachable = true
	}
}

// drop closes a session whose peer is unresponsive, and logs the reason.
func (n *network) drop(s *session, reason string) {
	n.log.Warn("link closed", zap.Stringer("kind", outcome.ConnectionLost), zap.String("reason", reason))
	s.close()
}

// closeAll closes the usable sessions. Those with stopping peers are left.
func (n *network) closeAll() {
	for _, s := range n.sessions(n.clock.Now()) {
		s.close()
	}
}

var _ kernel.Peers = (*network)(nil)
