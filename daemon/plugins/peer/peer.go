// Package peer carries numbered frames between daemons over yamux sessions. A
// session has two long-lived streams, called links: one for callers' requests
// and one for control messages, so that large bodies do not delay the latter. Where the
// network link of an instance is limited, a third one carries large requests and responses.
//
// Invariants: a call whose error means "not run" was not run by the peer. An answer
// is delivered only to the call whose id and tag it repeats. A request that must not
// run twice is sent only on a link whose peer responded recently.
package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/fx"

	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.peer", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(func(c kernel.Control) *view.Freshness { return c.View().ConfigFreshness }, fx.Private),
		fx.Provide(
			newInstruments,
			pacing.New,
			newNetwork,
			func(n *network) kernel.Peers { return n },
			newReleases,
			newServer,
			kernel.AsEffectHandler(func(r *releases) *releases { return r }),
			kernel.AsFrameHandler(func(r *releases) *releases { return r }),
		),
		fx.Invoke(pacing.RegisterMetrics, usePacer, accountMemory, startNetwork, startServer),
	)
}

// usePacer sets the pacer of the network link.
func usePacer(p *pacing.Pacer, n *network, s *server) { n.pacer, s.pacer = p, p }

// protocolVersion is the version of the peer protocol. Both ends of a link must
// have the same one.
const protocolVersion = 1

const (
	// dialTimeout bounds, each on its own, the TCP connect, the opening of a
	// stream and the handshake on it.
	dialTimeout = 500 * time.Millisecond
	// helloTimeout bounds the wait for the first frame of an accepted link.
	helloTimeout = 2 * time.Second
	// stallTimeout ends a session whose peer reads no bytes.
	stallTimeout = 2 * time.Second
	// maxWindow is the maximum receive window of a link in bytes.
	maxWindow = 4 << 20
)

// yamuxConfig returns the configuration of a session. Keep-alives are left to
// TCP, which sends them only on connections without traffic: a daemon has a
// session with every peer of its region.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = maxLinks
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = stallTimeout
	cfg.StreamOpenTimeout = 0 // it would close the session itself, see sessionConn; the handshake has a deadline
	cfg.MaxStreamWindowSize = maxWindow
	cfg.LogOutput = io.Discard
	return cfg
}
