package peer

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// idleTimeout ends a session without calls.
	idleTimeout = 30 * time.Second
	// redialFirst and redialMost bound the pause after a failed dial; it
	// doubles with each failure in a row.
	redialFirst = 20 * time.Millisecond
	redialMost  = 1 * time.Second
	// sendTries is the number of sessions on which a frame is tried while it
	// provably was not sent.
	sendTries = 2
	// lostWait is the time for which a call waits for a new session with a peer
	// that could not be reached last. The dial goes on without it.
	lostWait = 100 * time.Millisecond
)

// network calls peers over one session to each.
type network struct {
	log     *zap.Logger
	clock   clock.Clock
	metrics *instruments
	dialer  net.Dialer
	hello   *wire.Hello
	stop    chan struct{}

	mu     sync.Mutex
	peers  map[string]*remote
	ending []*session // of peers that are stopping, until the last answer
}

// remote is what is known about one address.
type remote struct {
	dial     *dialing
	failures int
	lost     bool          // the last dial failed, or the last session fell silent
	next     clock.Instant // earliest instant of the next dial
}

// dialing is the session with a peer, or the attempt to make it.
type dialing struct {
	ready   chan struct{}
	session *session
	err     error
}

// newNetwork dials from the IP number of the daemon's own peer address.
func newNetwork(set settings.Daemon, clk clock.Clock, m *instruments, log *zap.Logger) (*network, error) {
	host, _, err := net.SplitHostPort(set.PeerAddr)
	if err != nil {
		return nil, fmt.Errorf("peer: address: %w", err)
	}
	return &network{
		log:     log.Named("peer"),
		clock:   clk,
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
	for try := 1; ; try++ {
		s, err := n.session(ctx, addr)
		if err != nil {
			return nil, err
		}
		answer, err := n.callOn(ctx, addr, s, frame)
		if !errors.Is(err, errNotSent) || try == sendTries {
			return answer, err
		}
	}
}

// callOn calls over one session. A request goes out only on a link that is known
// to be alive: it must not run twice, or others wait in vain for answers.
func (n *network) callOn(ctx context.Context, addr string, s *session, frame *wire.Frame) (*wire.Frame, error) {
	l, err := s.link(frame)
	if err != nil {
		return nil, err
	}
	l.touch()
	req := frame.GetRequest()
	unsure := !req.GetIdempotent() && l.quiet() || l.doubt.Load()
	if req != nil && unsure && !l.confirm(ctx, confirmTimeout) {
		n.markLost(addr)
		n.drop(s, "no answer to a ping")
		return nil, errNotSent
	}
	return l.call(ctx, frame)
}

func (n *network) session(ctx context.Context, addr string) (*session, error) {
	d, lost, err := n.dialing(addr)
	if err != nil {
		return nil, err
	}
	if err := d.wait(ctx, lost); err != nil {
		return nil, err
	}
	if d.err != nil {
		return nil, outcome.New(outcome.OwnerUnreachable, "%s: %v", addr, d.err)
	}
	return d.session, nil
}

// wait waits until the attempt is over, for a lost peer only for lostWait.
func (d *dialing) wait(ctx context.Context, lost bool) error {
	var late <-chan time.Time
	if lost {
		timer := time.NewTimer(lostWait)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-d.ready:
		return nil
	case <-late:
		return outcome.New(outcome.OwnerUnreachable, "no session within %v", lostWait)
	case <-ctx.Done():
		return endedNotRun(ctx)
	}
}

// dialing returns the current session or attempt, or starts an attempt unless
// the pause after the last failure still runs. lost tells that the peer could
// not be reached last.
func (n *network) dialing(addr string) (d *dialing, lost bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.peers[addr]
	if !ok {
		r = &remote{}
		n.peers[addr] = r
	}
	if r.dial != nil && !r.dial.dead() {
		return r.dial, r.lost, nil
	}
	if n.clock.Now().Before(r.next) {
		return nil, true, outcome.New(outcome.OwnerUnreachable, "%s: pause before the next dial", addr)
	}
	r.dial = &dialing{ready: make(chan struct{})}
	go n.connect(addr, r, r.dial)
	return r.dial, r.lost, nil
}

// dead reports whether the attempt failed or its session ended.
func (d *dialing) dead() bool {
	select {
	case <-d.ready:
		return d.err != nil || !d.session.usable()
	default:
		return false
	}
}

func (n *network) connect(addr string, r *remote, d *dialing) {
	defer close(d.ready)
	conn, err := n.dialer.Dial("tcp", addr)
	if err == nil {
		d.session, err = openSession(conn, n.hello, n.clock, func() { n.crossed(addr) }, n.leaving)
	}
	d.err = err
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		r.failures = 0
		r.lost = false
		return
	}
	r.failures++
	r.lost = true
	r.next = n.clock.Now().Add(redialPause(r.failures))
}

// redialPause returns the pause after a number of failures in a row: between
// half of the doubled pause and the whole.
func redialPause(failures int) time.Duration {
	pause := redialFirst << min(failures-1, 10)
	pause = min(pause, redialMost)
	return pause/2 + rand.N(pause/2)
}

func (n *network) crossed(addr string) {
	n.log.Warn("link closed", zap.Stringer("kind", outcome.Malformed),
		zap.String("peer", addr), zap.String("reason", "answer to another call"))
}

// watch checks all sessions every beatInterval.
func (n *network) watch() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			n.beat()
		}
	}
}

// beat closes sessions that fell silent or idle. What makes one session silent
// may have hit the others too, so a doubtful one has them probed.
func (n *network) beat() {
	now := n.clock.Now()
	n.beatEnding(now)
	live := n.sessions(now)
	worst := healthy
	for addr, s := range live {
		state := s.beat(now)
		worst = max(worst, state)
		switch {
		case state == silent:
			n.metrics.silent()
			n.markLost(addr)
			n.drop(s, "peer "+addr+" fell silent")
		case s.idle(now):
			s.close()
		}
	}
	if worst == healthy {
		return
	}
	for _, s := range live {
		s.probe()
	}
}

// leaving takes over a session whose peer is stopping.
func (n *network) leaving(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ending = append(n.ending, s)
}

// beatEnding closes the sessions of stopping peers that fell silent.
func (n *network) beatEnding(now clock.Instant) {
	n.mu.Lock()
	n.ending = slices.DeleteFunc(n.ending, func(s *session) bool { return !s.alive() })
	ending := slices.Clone(n.ending)
	n.mu.Unlock()
	for _, s := range ending {
		if s.beat(now) == silent {
			n.drop(s, "stopping peer fell silent")
		}
	}
}

// sessions returns the live sessions and forgets addresses without one whose
// last failure is long past.
func (n *network) sessions(now clock.Instant) map[string]*session {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := make(map[string]*session, len(n.peers))
	for addr, r := range n.peers {
		switch {
		case r.dial == nil || r.dial.dead():
			if now.Sub(r.next) > idleTimeout {
				delete(n.peers, addr)
			}
		case r.dial.open():
			live[addr] = r.dial.session
		}
	}
	n.metrics.links(len(live))
	return live
}

// open reports whether the attempt is over.
func (d *dialing) open() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

// markLost remembers that a peer's session fell silent.
func (n *network) markLost(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.peers[addr]; ok {
		r.lost = true
	}
}

func (n *network) drop(s *session, reason string) {
	n.log.Warn("link closed", zap.Stringer("kind", outcome.ConnectionLost), zap.String("reason", reason))
	s.close()
}

func (n *network) closeAll() {
	for _, s := range n.sessions(n.clock.Now()) {
		s.close()
	}
}

var _ kernel.Peers = (*network)(nil)
