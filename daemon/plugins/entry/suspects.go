package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/quarantine"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// headerCrash names the crash in the answer of an owner whose backend
	// server crashed.
	headerCrash = ownPrefix + "Crash-Id"
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

// suspects keeps requests that crash backend servers out and tells other
// daemons about them.
type suspects struct {
	table   *quarantine.Table
	control kernel.Control
	peers   kernel.Peers
	clock   clock.Clock
	log     *zap.Logger
	rounds  chan struct{}
}

func newSuspects(c kernel.Control, p kernel.Peers, clk clock.Clock, log *zap.Logger) *suspects {
	return &suspects{
		table: quarantine.New(), control: c, peers: p, clock: clk,
		log: log.Named("quarantine"), rounds: make(chan struct{}, tellAtOnce),
	}
}

// observe takes in how a request ended.
func (s *suspects) observe(x *exchange, resp *wire.Response, err error) {
	fp := x.req.GetFingerprint()
	switch {
	case err == nil:
		if s.table.Completed(fp) {
			s.tell([]*wire.Suspect{{Fingerprint: fp, Service: x.req.GetService(), Cleared: true}})
		}
	case outcome.Of(err) == outcome.BackendCrashed:
		server := ""
		if x.target != nil {
			server = x.target.BackendName
		}
		s.take(&wire.Suspect{
			Fingerprint: fp, Service: x.req.GetService(), BackendServer: server,
			CrashId: []byte(headerValue(resp.GetHeaders(), headerCrash)),
		})
	}
}

// take stores a suspect and passes it on if it was news.
func (s *suspects) take(suspect *wire.Suspect) {
	if s.store(suspect) {
		s.tell([]*wire.Suspect{suspect})
	}
}

// store takes a suspect into the table and reports whether it was news.
func (s *suspects) store(suspect *wire.Suspect) bool {
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
func (s *suspects) tell(list []*wire.Suspect) {
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
func (s *suspects) listeners() []string {
	v := s.control.View()
	addrs := map[string]bool{}
	for _, svc := range v.Services {
		for i := range svc.Shards {
			for _, m := range []*view.Member{svc.Shards[i].Owner, svc.Shards[i].Standby} {
				if m != nil && m.Incarnation != v.Incarnation {
					addrs[m.PeerAddr] = true
				}
			}
		}
	}
	list := make([]string, 0, len(addrs))
	for addr := range addrs {
		list = append(list, addr)
	}
	if len(list) <= tellAll {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return slices.Clip(list[:tellPeers])
}

// Handles implements kernel.FrameHandler.
func (s *suspects) Handles(frame *wire.Frame) bool { return frame.GetSuspects() != nil }

// HandleFrame implements kernel.FrameHandler.
func (s *suspects) HandleFrame(_ context.Context, _ string, frame *wire.Frame) *wire.Frame {
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

var _ kernel.FrameHandler = (*suspects)(nil)
