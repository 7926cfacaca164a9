package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
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
	// maxSurveyWait is the longest wait of a survey for new configuration at a peer. It
	// leaves the peer time to answer before surveyTimeout.
	maxSurveyWait = 300 * time.Millisecond
)

func startSurvey(lc fx.Lifecycle, r *relay) { kernel.Background(lc, r.surveyLoop) }

// surveyLoop starts a survey every surveyInterval, plus up to a tenth of it, while
// configStale reports true. A survey that waits for an unreachable daemon does not
// delay the next one.
func (r *relay) surveyLoop(ctx context.Context) {
	var surveys sync.WaitGroup
	defer surveys.Wait()
	for round := rand.Int(); ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.surveyInterval + rand.N(r.surveyInterval/10)):
			if r.configStale() {
				surveys.Go(func() { r.survey(ctx, round) })
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

// survey asks one daemon of each data centre, another one in each round, for records
// and the head of the log. When daemons of a majority of the data centres answered and
// none knew the head as of a recent time, the log is down for all of them, and it
// cannot have accepted records that are unknown here.
func (r *relay) survey(ctx context.Context, round int) {
	started := r.clock.Now()
	daemons := r.control.View().Daemons
	names := dataCentres(daemons)
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	answers := make(chan bool, len(names))
	for _, name := range names {
		go func() { answers <- r.surveyDataCentre(ctx, inDataCentre(daemons, name), round) }()
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

// surveyDataCentre reads from the round's daemon of the list and reports whether its
// data centre counts as reached: the daemon answered, or the data centre is this
// daemon's own. The daemon asked waits for new configuration, so that a record that it
// learns in the meantime does not have to wait for the next survey.
func (r *relay) surveyDataCentre(ctx context.Context, list []view.Daemon, round int) bool {
	d := list[round%len(list)]
	if d.Slot == r.slot {
		return true
	}
	answered := d.DataCentre == r.dataCentre
	for stream, s := range r.stores {
		wait := time.Duration(0)
		if stream == logstream.ConfigStream {
			wait = min(r.surveyInterval, maxSurveyWait)
		}
		from := s.position()
		batch, asOf, err := r.ask(ctx, d.PeerAddr, stream, from, wait)
		if errors.Is(err, logstream.ErrRestored) {
			r.log.Info("log was restored, by a survey", zap.String("stream", stream), zap.String("peer", d.PeerAddr), zap.Uint64("first", batch.First))
			r.Reset(stream, batch.First)
		}
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
