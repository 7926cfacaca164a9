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
	// surveyTimeout bounds one survey.
	surveyTimeout = 700 * time.Millisecond
)

func startSurvey(lc fx.Lifecycle, r *relay) { kernel.Background(lc, r.surveys) }

func (r *relay) surveys(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.surveyInterval + rand.N(r.surveyInterval/10)):
			if r.behind() {
				r.survey(ctx)
			} else {
				r.noteOutage(false, 0, 0)
			}
		}
	}
}

// behind reports whether the knowledge of the configuration is old enough to
// ask around.
func (r *relay) behind() bool {
	return r.clock.Now().Sub(r.config().known()) > r.surveyAfter
}

// survey asks one daemon of each data centre for records and knowledge of the
// log's head. When daemons of a majority of the data centres answered and none
// knew the head any later, the log is down for all of them, and nothing newer
// than what is known here can have been accepted.
func (r *relay) survey(ctx context.Context) {
	started := r.clock.Now()
	daemons := r.control.View().Daemons
	centres := dataCentres(daemons)
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	answers := make(chan bool, len(centres))
	for _, name := range centres {
		go func() { answers <- r.surveyDataCentre(ctx, inDataCentre(daemons, name)) }()
	}
	reached := 0
	for range centres {
		if <-answers {
			reached++
		}
	}
	if outage(reached, len(centres)) && r.config().known() != 0 && r.behind() {
		r.control.Post(control.LogOutage{AsOf: started})
		r.noteOutage(true, reached, len(centres))
	}
}

// noteOutage logs when the log is found to be down, and when it is read again.
func (r *relay) noteOutage(down bool, reached, total int) {
	r.mu.Lock()
	changed := r.down != down
	r.down = down
	r.mu.Unlock()
	switch {
	case changed && down:
		r.log.Warn("log is down for a majority of the data centres", zap.Int("reached", reached), zap.Int("data_centres", total))
	case changed:
		r.log.Info("log is read again")
	}
}

// outage reports whether enough data centres answered to judge the log.
func outage(reached, total int) bool { return 2*reached > total }

// surveyDataCentre asks a random daemon of the list and reports whether it
// answered. This daemon answers for its own data centre.
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
		s.take(from, batch, asOf)
		if n := len(batch.Records); n > 0 {
			r.log.Info("records came by a survey", zap.String("stream", stream), zap.String("peer", d.PeerAddr), zap.Int("records", n))
		}
	}
	return answered
}

// config returns the store of the configuration stream.
func (r *relay) config() *store { return r.stores[logstream.ConfigStream] }
