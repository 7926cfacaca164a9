// Package suspects quarantines requests that crash backend servers and propagates
// crashes and cleared suspects between daemons by gossip.
package suspects

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/quarantine"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.suspects", Module: module})
}

func module() fx.Option {
	return fx.Provide(
		NewRegistry,
		func(b *Registry) kernel.Suspects { return b },
		kernel.AsFrameHandler(func(b *Registry) *Registry { return b }),
	)
}

const (
	// gossipFanout is the number of peers to which a daemon of a larger fleet sends
	// updates.
	gossipFanout = 8
	// broadcastLimit is the number of peers up to which updates go to all of them.
	broadcastLimit = 16
	// gossipTimeout bounds one round of messages.
	gossipTimeout = 500 * time.Millisecond
	// maxRounds bounds the rounds of messages in progress.
	maxRounds = 16
	// maxSuspectsPerMessage bounds the suspects that are read from one message.
	maxSuspectsPerMessage = 256
	// maxReportAge is the maximum age that is accepted for a reported crash; greater
	// ages are reduced to it.
	maxReportAge = 10 * time.Minute
)

// Registry records requests that were in flight at crashes of backend servers and notifies
// other daemons. It implements kernel.Suspects.
type Registry struct {
	table   *quarantine.Table
	control kernel.Control
	peers   kernel.Peers
	clock   clock.Clock
	log     *zap.Logger
	rounds  chan struct{}
	slot    string // of this daemon
}

// NewRegistry returns a Registry without suspects.
func NewRegistry(c kernel.Control, p kernel.Peers, clk clock.Clock, set settings.Daemon, log *zap.Logger) *Registry {
	return &Registry{
		table: quarantine.New(), control: c, peers: p, clock: clk,
		log: log.Named("quarantine"), rounds: make(chan struct{}, maxRounds), slot: set.Slot,
	}
}

// IsQuarantined implements kernel.Suspects.
func (r *Registry) IsQuarantined(fingerprint uint64) bool {
	return r.table.IsQuarantined(fingerprint, r.clock.Now())
}

// RecordCompletion implements kernel.Suspects.
func (r *Registry) RecordCompletion(fingerprint uint64, service string) {
	if r.table.RecordCompletion(fingerprint) {
		r.notifyPeers([]*wire.Suspect{{Fingerprint: fingerprint, Service: service, Cleared: true}})
	}
}

// RecordCrash implements kernel.Suspects.
func (r *Registry) RecordCrash(fingerprint uint64, service, server, crashID string) {
	r.record(&wire.Suspect{Fingerprint: fingerprint, Service: service, BackendServer: server, CrashId: []byte(crashID)})
}

// record applies an update and forwards it if it is new.
func (r *Registry) record(suspect *wire.Suspect) {
	if r.apply(suspect) {
		r.notifyPeers([]*wire.Suspect{suspect})
	}
}

// apply applies an update to the table and reports whether it is new.
func (r *Registry) apply(suspect *wire.Suspect) bool {
	if suspect.GetCleared() {
		return r.table.RecordCompletion(suspect.GetFingerprint())
	}
	age := time.Duration(min(max(0, suspect.GetAgeMs()), maxReportAge.Milliseconds())) * time.Millisecond
	isNew, quarantined := r.table.RecordCrash(quarantine.Crash{
		Fingerprint:   suspect.GetFingerprint(),
		Service:       suspect.GetService(),
		BackendServer: suspect.GetBackendServer(),
		ID:            string(suspect.GetCrashId()),
		At:            r.clock.Now().Add(-age),
	})
	if isNew {
		r.log.Warn("request in flight at a crash",
			zap.Uint64("fingerprint", suspect.GetFingerprint()),
			zap.String("service", suspect.GetService()),
			zap.String("backend_server", suspect.GetBackendServer()),
			zap.Bool("quarantined", quarantined))
	}
	return isNew
}

// notifyPeers sends updates to other daemons in the background. Each receiver forwards
// the updates that are new to it. If maxRounds rounds are in progress, the updates are
// dropped.
func (r *Registry) notifyPeers(updates []*wire.Suspect) {
	select {
	case r.rounds <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.rounds }()
		ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
		defer cancel()
		done := make(chan struct{})
		addrs := r.peersToNotify()
		for _, addr := range addrs {
			go func() {
				frame := &wire.Frame{Body: &wire.Frame_Suspects{Suspects: &wire.Suspects{Suspects: updates}}}
				_, _ = r.peers.Call(ctx, addr, frame)
				done <- struct{}{}
			}()
		}
		for range addrs {
			<-done
		}
	}()
}

// peersToNotify returns the addresses of all other daemons if there are at most
// broadcastLimit, otherwise of gossipFanout random ones.
func (r *Registry) peersToNotify() []string {
	var addrs []string
	for _, d := range r.control.View().Daemons {
		if d.Slot != r.slot {
			addrs = append(addrs, d.PeerAddr)
		}
	}
	if len(addrs) <= broadcastLimit {
		return addrs
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return slices.Clip(addrs[:gossipFanout])
}

// Handles implements kernel.FrameHandler.
func (r *Registry) Handles(frame *wire.Frame) bool { return frame.GetSuspects() != nil }

// HandleFrame implements kernel.FrameHandler.
func (r *Registry) HandleFrame(_ context.Context, _ string, frame *wire.Frame) *wire.Frame {
	reported := frame.GetSuspects().GetSuspects()
	var updates []*wire.Suspect
	for _, suspect := range reported[:min(len(reported), maxSuspectsPerMessage)] {
		if r.apply(suspect) {
			updates = append(updates, suspect)
		}
	}
	if len(updates) > 0 {
		r.notifyPeers(updates)
	}
	return &wire.Frame{Body: &wire.Frame_Suspects{Suspects: &wire.Suspects{}}}
}

var (
	_ kernel.FrameHandler = (*Registry)(nil)
	_ kernel.Suspects     = (*Registry)(nil)
)
