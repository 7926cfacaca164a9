// Package suspects keeps requests that crash backend servers away from them and
// spreads word of them between daemons.
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
		NewBook,
		func(b *Book) kernel.Suspects { return b },
		kernel.AsFrameHandler(func(b *Book) *Book { return b }),
	)
}

const (
	// tellPeers is the number of daemons to which each daemon passes news.
	tellPeers = 8
	// tellAll is the number of daemons up to which all of them are told.
	tellAll = 16
	// tellTimeout bounds one message with news.
	tellTimeout = 500 * time.Millisecond
	// tellAtOnce bounds the rounds of news on their way.
	tellAtOnce = 16
	// maxReported bounds the suspects in one message.
	maxReported = 256
	// maxReportAge bounds the age of reported crashes.
	maxReportAge = 10 * time.Minute
)

// Book keeps requests that crash backend servers out and tells other
// daemons about them.
type Book struct {
	table   *quarantine.Table
	control kernel.Control
	peers   kernel.Peers
	clock   clock.Clock
	log     *zap.Logger
	rounds  chan struct{}
	slot    string // of this daemon
}

// NewBook returns an empty book.
func NewBook(c kernel.Control, p kernel.Peers, clk clock.Clock, set settings.Daemon, log *zap.Logger) *Book {
	return &Book{
		table: quarantine.New(), control: c, peers: p, clock: clk,
		log: log.Named("quarantine"), rounds: make(chan struct{}, tellAtOnce), slot: set.Slot,
	}
}

// Refuses implements kernel.Suspects.
func (s *Book) Refuses(fingerprint uint64) bool { return s.table.Refuses(fingerprint, s.clock.Now()) }

// Completed implements kernel.Suspects.
func (s *Book) Completed(fingerprint uint64, service string) {
	if s.table.Completed(fingerprint) {
		s.tell([]*wire.Suspect{{Fingerprint: fingerprint, Service: service, Cleared: true}})
	}
}

// Crashed implements kernel.Suspects.
func (s *Book) Crashed(fingerprint uint64, service, server, crashID string) {
	s.take(&wire.Suspect{Fingerprint: fingerprint, Service: service, BackendServer: server, CrashId: []byte(crashID)})
}

// take stores a suspect and passes it on if it was news.
func (s *Book) take(suspect *wire.Suspect) {
	if s.store(suspect) {
		s.tell([]*wire.Suspect{suspect})
	}
}

// store takes a suspect into the table and reports whether it was news.
func (s *Book) store(suspect *wire.Suspect) bool {
	if suspect.GetCleared() {
		return s.table.Completed(suspect.GetFingerprint())
	}
	age := time.Duration(min(max(0, suspect.GetAgeMs()), maxReportAge.Milliseconds())) * time.Millisecond
	news, refused := s.table.Crashed(quarantine.Crash{
		Fingerprint:   suspect.GetFingerprint(),
		Service:       suspect.GetService(),
		BackendServer: suspect.GetBackendServer(),
		ID:            string(suspect.GetCrashId()),
		At:            s.clock.Now().Add(-age),
	})
	if news {
		s.log.Warn("request in flight at a crash",
			zap.Uint64("fingerprint", suspect.GetFingerprint()),
			zap.String("service", suspect.GetService()),
			zap.String("backend_server", suspect.GetBackendServer()),
			zap.Bool("quarantined", refused))
	}
	return news
}

// tell passes news to a bounded number of daemons, each of which passes it on
// in turn when it hears it first. Beyond tellAtOnce rounds news is dropped.
func (s *Book) tell(list []*wire.Suspect) {
	select {
	case s.rounds <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.rounds }()
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		done := make(chan struct{})
		addrs := s.listeners()
		for _, addr := range addrs {
			go func() {
				frame := &wire.Frame{Body: &wire.Frame_Suspects{Suspects: &wire.Suspects{Suspects: list}}}
				_, _ = s.peers.Call(ctx, addr, frame)
				done <- struct{}{}
			}()
		}
		for range addrs {
			<-done
		}
	}()
}

// listeners returns the addresses of the daemons to tell: all in a small
// fleet, otherwise some at random.
func (s *Book) listeners() []string {
	var list []string
	for _, d := range s.control.View().Daemons {
		if d.Slot != s.slot {
			list = append(list, d.PeerAddr)
		}
	}
	if len(list) <= tellAll {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return slices.Clip(list[:tellPeers])
}

// Handles implements kernel.FrameHandler.
func (s *Book) Handles(frame *wire.Frame) bool { return frame.GetSuspects() != nil }

// HandleFrame implements kernel.FrameHandler.
func (s *Book) HandleFrame(_ context.Context, _ string, frame *wire.Frame) *wire.Frame {
	reported := frame.GetSuspects().GetSuspects()
	var news []*wire.Suspect
	for _, suspect := range reported[:min(len(reported), maxReported)] {
		if s.store(suspect) {
			news = append(news, suspect)
		}
	}
	if len(news) > 0 {
		s.tell(news)
	}
	return &wire.Frame{Body: &wire.Frame_Suspects{Suspects: &wire.Suspects{}}}
}

var (
	_ kernel.FrameHandler = (*Book)(nil)
	_ kernel.Suspects     = (*Book)(nil)
)
