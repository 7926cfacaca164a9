// Package pacing shares the network link of a daemon's instance among all that it sends: the
// sessions with other daemons and the connections of callers. Small messages are written at once
// and counted; the pieces of large responses are granted one by one in the order of package link.
//
// A nil or unlimited Pacer grants nothing and delays nothing: its users then write as if there
// were none.
package pacing

import (
	"context"
	"math"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/link"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// sampleInterval is the interval at which connections with bulk are looked at.
	sampleInterval = 100 * time.Millisecond
	// reportedChange is the relative change of the expected rate that is logged.
	reportedChange = 0.2
)

// Pacer is the link of a daemon's instance. It is safe for concurrent use.
type Pacer struct {
	clock clock.Clock
	log   *zap.Logger

	mu       sync.Mutex
	link     *link.Link
	sizes    *link.Sizes
	offered  map[*link.Transfer]*Transfer
	timer    *time.Timer // calls grant; nil before the first
	sampling bool        // the sampling goroutine runs
	conns    map[*tracked]struct{}
	reported float64 // rate that was logged last, in Mbit/s

	refusals [2]int64 // by Place
	bulk     int64    // bytes granted
	small    int64    // bytes counted
}

// Place is where a request is refused for the link.
type Place int

// Values of Place.
const (
	AtOwner Place = iota // beside the backend server
	AtEntry              // of the caller
)

// New returns the link of the settings.
func New(set settings.Daemon, clk clock.Clock, log *zap.Logger) *Pacer {
	l := link.New(set.Bounds.LinkMbps)
	p := &Pacer{
		clock: clk, log: log.Named("link"), link: l, sizes: link.NewSizes(), reported: l.Mbps(),
		offered: map[*link.Transfer]*Transfer{}, conns: map[*tracked]struct{}{},
	}
	if l.Limited() {
		p.log.Info("link is limited", zap.Float64("setting_mbps", set.Bounds.LinkMbps))
	}
	return p
}

// Limited reports whether the link is limited. It is false for nil.
func (p *Pacer) Limited() bool { return p != nil && p.link.Limited() }

// CountSmall counts bytes that are written without waiting.
func (p *Pacer) CountSmall(n int) {
	if !p.Limited() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.small += int64(n)
	p.link.CountSmall(p.clock.Now(), n)
}

// Transfer is a large message whose writer waits for each piece.
type Transfer struct {
	p       *Pacer
	link    *link.Transfer
	granted chan int // capacity 1
}

// Offer announces a large message of the given size. The Pacer must be limited.
func (p *Pacer) Offer(rank int64, size int) *Transfer {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &Transfer{p: p, link: p.link.Offer(p.clock.Now(), rank, size), granted: make(chan int, 1)}
	p.offered[t.link] = t
	if !p.sampling {
		p.sampling = true
		go p.sample()
	}
	return t
}

// Await asks for the next piece. The channel receives the number of its bytes once it may be
// written.
func (t *Transfer) Await() <-chan int {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if len(t.granted) == 0 {
		t.p.link.Await(t.link)
		t.p.grant()
	}
	return t.granted
}

// Withhold takes back a request for a piece, unless the piece was granted: then it stays granted.
func (t *Transfer) Withhold() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.p.link.Withhold(t.link)
}

// complete reports whether all pieces were granted.
func (t *Transfer) complete() bool {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	return t.link.Left() == 0
}

// End ends the transfer, complete or not. It may be called more than once.
func (t *Transfer) End() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.p.link.Drop(t.link)
	delete(t.p.offered, t.link)
}

// grant gives pieces to the transfers whose turn has come. The caller holds the lock.
func (p *Pacer) grant() {
	for {
		t, piece, wait := p.link.Grant(p.clock.Now())
		if t != nil {
			p.bulk += int64(piece)
			p.offered[t].granted <- piece
			continue
		}
		if wait > 0 {
			p.wakeAfter(wait)
		}
		return
	}
}

func (p *Pacer) wakeAfter(wait time.Duration) {
	if p.timer != nil {
		p.timer.Reset(wait)
		return
	}
	p.timer = time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.grant()
	})
}

// Promise implements runqueue.Link.
func (p *Pacer) Promise(now clock.Instant, rank int64, size, spread float64) *link.Transfer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Promise(now, rank, size, spread)
}

// Drop implements runqueue.Link. t may be nil.
func (p *Pacer) Drop(t *link.Transfer) {
	if t == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.Drop(t)
}

// Predict implements runqueue.Link.
func (p *Pacer) Predict(now, ready clock.Instant, rank int64, size, spread float64, own *link.Transfer) link.Prediction {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Predict(now, ready, rank, size, spread, own)
}

// BulkRate implements runqueue.Link.
func (p *Pacer) BulkRate(now clock.Instant) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.BulkRate(now)
}

// Backlog returns the time that the large responses which the link is to carry take, and the rate
// for them in kbit/s; zeros if the link is not limited.
func (p *Pacer) Backlog() (backlog time.Duration, kbps float64) {
	if !p.Limited() {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	return p.link.Backlog(now), p.link.BulkRate(now) * 8 / 1e3
}

// RecordSize records the size of a response of a route.
func (p *Pacer) RecordSize(route string, bytes int) {
	if !p.Limited() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizes.Record(route, bytes)
}

// Expected returns the expected size of a response and its standard deviation, if the route's
// responses are large, and otherwise zeros; see link.Sizes.
func (p *Pacer) Expected(route string, bulk bool) (size, spread float64) {
	if !p.Limited() {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	size, spread, large := p.sizes.Expected(route, bulk)
	if !large {
		return 0, 0
	}
	return size, spread
}

// CountRefusal counts a request that was refused for the link.
func (p *Pacer) CountRefusal(at Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals[at]++
}

// sample observes the connections while bulk is written, and for a while after it.
func (p *Pacer) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for range ticker.C {
		p.mu.Lock()
		conns := make([]*tracked, 0, len(p.conns))
		for c := range p.conns {
			conns = append(conns, c)
		}
		p.mu.Unlock()
		s, used := observe(conns, p.clock.Now())
		p.mu.Lock()
		p.link.Observe(p.clock.Now(), s)
		p.report()
		if len(p.offered) == 0 && !used {
			p.sampling = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
}

// report logs the expected rate if it has changed much. The caller holds the lock.
func (p *Pacer) report() {
	mbps := p.link.Mbps()
	if math.Abs(mbps-p.reported) < reportedChange*p.reported {
		return
	}
	p.log.Info("link rate", zap.Float64("mbps", mbps), zap.Float64("before_mbps", p.reported),
		zap.Int64("backlog_ms", p.link.Backlog(p.clock.Now()).Milliseconds()), zap.Int("transfers", len(p.offered)))
	p.reported = mbps
}

// RegisterMetrics registers the metrics of a limited link.
func RegisterMetrics(m *kernel.Metrics, p *Pacer) error {
	if !p.Limited() {
		return nil
	}
	rate, err := m.Float64ObservableGauge("sesamemoor_link_mbps",
		metric.WithDescription("expected rate of the instance's network link in megabits per second"))
	if err != nil {
		return err
	}
	backlog, err := m.Float64ObservableGauge("sesamemoor_link_backlog_seconds",
		metric.WithDescription("time that the large responses which the link is to carry take"))
	if err != nil {
		return err
	}
	sent, err := m.Int64ObservableCounter("sesamemoor_link_bytes",
		metric.WithDescription("bytes written to the link by class: bulk or small"))
	if err != nil {
		return err
	}
	refusals, err := m.Int64ObservableCounter("sesamemoor_link_refusals",
		metric.WithDescription("requests refused because the link could not carry their responses in time, by place: owner or entry"))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		waiting, _ := p.Backlog()
		p.mu.Lock()
		defer p.mu.Unlock()
		o.ObserveFloat64(rate, p.link.Mbps())
		o.ObserveFloat64(backlog, waiting.Seconds())
		o.ObserveInt64(sent, p.bulk, metric.WithAttributes(attribute.String("class", "bulk")))
		o.ObserveInt64(sent, p.small, metric.WithAttributes(attribute.String("class", "small")))
		o.ObserveInt64(refusals, p.refusals[AtOwner], metric.WithAttributes(attribute.String("place", "owner")))
		o.ObserveInt64(refusals, p.refusals[AtEntry], metric.WithAttributes(attribute.String("place", "entry")))
		return nil
	}, rate, backlog, sent, refusals)
	return err
}
