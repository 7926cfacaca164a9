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

// survey asks one daemon of each data centre, another one in each round, for the head of
// the log, and fetches new records from the first that has some. When daemons of a majority
// of the data centres answered and none knew the head as of a recent time, the log is down
// for all of them, and it cannot have accepted records that are unknown here, unless a peer has
// some.
func (r *relay) survey(ctx context.Context, round int) {
	started := r.clock.Now()
	v := r.control.View()
	daemons := v.Daemons
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
	replaced := v.ConfigFreshness.Replaced(r.clock.Now())
	if isMajority(reached, len(names)) && r.configStore().completeAsOf() != 0 && r.configStale() && !replaced {
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

// surveyDataCentre asks the round's daemon of the list for the head of each stream, and
// reports whether its data centre counts as reached: the daemon answered, or the data centre
// is this daemon's own. The daemon asked waits for new configuration, so that a record that
// it learns in the meantime does not have to wait for the next survey.
func (r *relay) surveyDataCentre(ctx context.Context, list []view.Daemon, round int) bool {
	d := list[round%len(list)]
	if d.Slot == r.slot {
		return true
	}
	answered := d.DataCentre == r.dataCentre
	for stream := range r.stores {
		wait := time.Duration(0)
		if stream == logstream.ConfigStream {
			wait = min(r.surveyInterval, maxSurveyWait)
		}
		next, err := r.surveyStream(ctx, d.PeerAddr, stream, 0, wait)
		if err != nil {
			continue
		}
		answered = true
		r.fetch(ctx, d.PeerAddr, stream, next)
	}
	return answered
}

// fetch reads the records of a stream before next from a peer that has them, unless they are
// known or are being fetched from another. A large record is thus sent once, not by a daemon
// of each data centre.
func (r *relay) fetch(ctx context.Context, addr, stream string, next uint64) {
	if !r.beginFetch(stream) {
		return
	}
	defer r.endFetch(stream)
	if next > r.stores[stream].position() {
		_, _ = r.surveyStream(ctx, addr, stream, maxAnswerRecords, 0) // the next survey asks again
	}
}

// surveyStream reads from a peer and returns the head that it knows.
func (r *relay) surveyStream(ctx context.Context, addr, stream string, limit uint32, wait time.Duration) (next uint64, err error) {
	from := r.stores[stream].position()
	batch, asOf, err := r.ask(ctx, addr, stream, from, limit, wait)
	if errors.Is(err, logstream.ErrRestored) {
		r.log.Info("log was restored, by a survey", zap.String("stream", stream), zap.String("peer", addr), zap.Uint64("first", batch.First))
		r.Reset(stream, batch.First)
	}
	if err != nil {
		return 0, err
	}
	r.apply(stream, addr, from, batch, asOf)
	if n := len(batch.Records); n > 0 {
		r.log.Info("records came by a survey", zap.String("stream", stream), zap.String("peer", addr), zap.Int("records", n))
	}
	return batch.Next, nil
}

// maxFetch is the time after which a fetch of records no longer keeps another one from
// starting: its peer may be slow or unreachable.
const maxFetch = 200 * time.Millisecond

// beginFetch reports whether no records of a stream are being fetched, and notes that some
// are from now on.
func (r *relay) beginFetch(stream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if began := r.fetching[stream]; began != 0 && now.Sub(began) < maxFetch {
		return false
	}
	r.fetching[stream] = now
	return true
}

func (r *relay) endFetch(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.fetching, stream)
}

// configStore returns the store of the configuration stream.
func (r *relay) configStore() *store { return r.stores[logstream.ConfigStream] }
