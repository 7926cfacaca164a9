package peer

import (
	"context"
	"errors"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// instruments are the metrics of the peer transport.
type instruments struct {
	unresponsiveLinks metric.Int64Counter
	malformed         metric.Int64Counter
	sessions          atomic.Int64
}

func newInstruments(m *kernel.Metrics) (*instruments, error) {
	i := new(instruments)
	var errs [3]error
	i.unresponsiveLinks, errs[0] = m.Int64Counter("sesamemoor_peer_silent_links",
		metric.WithDescription("sessions closed because the peer fell silent"))
	i.malformed, errs[1] = m.Int64Counter("sesamemoor_peer_malformed_frames",
		metric.WithDescription("links closed because of a malformed frame"))
	_, errs[2] = m.Int64ObservableGauge("sesamemoor_peer_sessions",
		metric.WithDescription("open sessions to peers"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(i.sessions.Load())
			return nil
		}))
	return i, errors.Join(errs[:]...)
}

// unresponsive counts a session closed because its peer was unresponsive.
func (i *instruments) unresponsive() { i.unresponsiveLinks.Add(context.Background(), 1) }

// countMalformed counts a link closed because of a malformed frame.
func (i *instruments) countMalformed() { i.malformed.Add(context.Background(), 1) }

// setSessions sets the number of open sessions.
func (i *instruments) setSessions(n int) { i.sessions.Store(int64(n)) }
