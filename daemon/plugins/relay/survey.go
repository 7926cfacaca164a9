package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// surveyTimeout bounds one survey of the data centres.
	surveyTimeout = 700 * time.Millisecond
)

func startSurvey(lc fx.Lifecycle, r *relay) { kernel.Background(lc, r.surveyLoop) }

// surveyLoop runs a survey every surveyInterval, plus up to a tenth of it, while
// configStale reports true.
func (r *relay) surveyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.surveyInterval + rand.N(r.surveyInterval/10)):
			if r.configStale() {
				r.survey(ctx)
			} else {
				r.setLogDown(false, 0, 0)
			}
		}
	}
}

// configStale reports whether the configuration was last known to be current more
// than surveyAfter ago, so that a survey is due.
func (r *relay) configStale() bool {
	return r.clock.Now().Sub(r.configStore().completeAsOf()) > r.surveyAfter
}

// survey asks one daemon of each data centre for records and the head of the log.
// When daemons of a majority of the data centres answered and none knew the head
// as of a recent time, the log is down for all of them, and it cannot have
// accepted records that are unknown here.
func (r *relay) survey(ctx context.Context) {
	started := r.clock.Now()
	daemons := r.control.View().Daemons
	names := dataCentres(daemons)
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	answers := make(chan bool, len(names))
	for _, name := range names {
		go func() { answers <- r.surveyDataCentre(ctx, inDataCentre(daemons, name)) }()
	}
	reached := 0
	for range names {
		if <-answers {
			reached++
		}
	}
	if isMajority(reached, len(names)) && r.configStore().completeAsOf() != 0 && r.configStale() {
		r.control.Post(control.LogOutage{AsOf: started})
		r.setLogDown(true, reached, len(names))
	}
}

// setLogDown records whether the log is down, and logs a change.
func (r *relay) setLogDown(logDown bool, reached, total int) {
	r.mu.Lock()
	changed := r.logDown != logDown
	r.logDown = logDown
	r.mu.Unlock()
	switch {
	case changed && logDown:
		r.log.Warn("log is down for a majority of the data centres", zap.Int("reached", reached), zap.Int("data_centres", total))
	case changed:
		r.log.Info("log is read again")
	}
}

// isMajority reports whether enough data centres answered to conclude that the
// log is down.
func isMajority(reached, total int) bool { return 2*reached > total }

// surveyDataCentre reads from a random daemon of the list and reports whether its
// data centre counts as reached: the daemon answered, or the data centre is this
// daemon's own.
func (r *relay) surveyDataCentre(ctx context.Context, list []view.Daemon) bool {
	d := list[rand.IntN(len(list))]
	if d.Slot == r.slot {
		return true
	}
	answered := d.DataCentre == r.dataCentre
	for stream, s := range r.stores {
		from := s.position()
		batch, asOf, err := r.ask(ctx, d.PeerAddr, stream, from, 0)
		if err != nil {
			continue
		}
		answered = true
		r.apply(stream, d.PeerAddr, from, batch, asOf)
		if n := len(batch.Records); n > 0 {
			r.log.Info("records came by a survey", zap.String("stream", stream), zap.String("peer", d.PeerAddr), zap.Int("records", n))
		}
	}
	return answered
}

// configStore returns the store of the configuration stream.
func (r *relay) configStore() *store { return r.stores[logstream.ConfigStream] }
