// Package peer carries numbered frames between daemons over yamux sessions. A
// session has two long-lived streams, called links: one for callers' requests
// and one for control messages, so that large bodies do not delay the latter.
package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/fx"

	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.peer", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newInstruments,
			newNetwork,
			func(n *network) kernel.Peers { return n },
			newReleases,
			newServer,
			kernel.AsEffectHandler(func(r *releases) *releases { return r }),
			kernel.AsFrameHandler(func(r *releases) *releases { return r }),
		),
		fx.Invoke(startNetwork, startServer),
	)
}

// protocolVersion is the version of the peer protocol that this daemon speaks.
const protocolVersion = 1

const (
	// dialTimeout bounds the connection with its handshake.
	dialTimeout = 500 * time.Millisecond
	// helloTimeout bounds the wait for the first frame of an accepted link.
	helloTimeout = 2 * time.Second
	// stallTimeout ends a session whose peer takes no bytes.
	stallTimeout = 2 * time.Second
	// maxWindow is the largest receive window of a link in bytes.
	maxWindow = 4 << 20
)

// yamuxConfig leaves keep-alives to TCP, which sends them only on connections
// without traffic: a daemon has a session with every peer of its region.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = maxLinks
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = stallTimeout
	cfg.StreamOpenTimeout = dialTimeout
	cfg.MaxStreamWindowSize = maxWindow
	cfg.LogOutput = io.Discard
	return cfg
}
