package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/ctl/emulate/platform"
)

// changeTimeout is the required bound for a change of the configuration.
const changeTimeout = 7 * time.Second

func newConfig(t *testing.T) (*Config, *platform.Server) {
	log := platform.New()
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(srv.Close)
	return &Config{Log: logstream.NewHTTP(srv.URL), Operator: "test"}, log
}

func dataCentrePatch(name string) []byte {
	return fmt.Appendf(nil, `{"data_centres":{%q:{"region":"r"}}}`, name)
}

func TestConcurrentPatchesOneAccepted(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	c, _ := newConfig(t)
	const operators = 5
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { _, errs[i] = c.Patch(ctx, 0, dataCentrePatch(fmt.Sprint("d", i)), "") })
	}
	wg.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		is.True(errors.Is(err, ErrRejected))
	}
	is.Equal(accepted, 1)
	history, _, err := c.Replay(ctx)
	is.NoErr(err)
	is.Equal(history.Version, uint64(1))
}

func TestConcurrentEditsSucceedWithRetries(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	c, _ := newConfig(t)
	const operators = 4
	var wg sync.WaitGroup
	errs := make([]error, operators)
	for i := range operators {
		edit := func(*fleet.Config) ([]byte, error) { return dataCentrePatch(fmt.Sprint("d", i)), nil }
		wg.Go(func() { _, errs[i] = c.Apply(ctx, edit, "", operators) })
	}
	wg.Wait()
	is.NoErr(errors.Join(errs...))
	history, _, err := c.Replay(ctx)
	is.NoErr(err)
	is.Equal(len(history.Config.DataCentres), operators)
}

func TestLostAppendResponseIsResolvedByRecordID(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	c, log := newConfig(t)
	is.NoErr(log.SetFaults(platform.Faults{LoseResponses: 1}))
	version, err := c.Patch(ctx, 0, dataCentrePatch("d"), "")
	is.NoErr(err)
	is.Equal(version, uint64(1))
	_, changes, err := c.Replay(ctx)
	is.NoErr(err)
	is.Equal(len(changes), 1) // found by its id, not appended again
}

func TestUnavailableLogYieldsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	c, log := newConfig(t)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	// The outage starts between the check of the patch and its append.
	c.Log = &outageBeforeAppend{Log: c.Log, startOutage: func() { _ = log.SetFaults(platform.Faults{Outage: platform.Error}) }}
	_, err := c.Patch(ctx, 0, dataCentrePatch("d"), "")
	is.True(errors.Is(err, ErrUnknownOutcome))
}

// outageBeforeAppend calls startOutage before each append.
type outageBeforeAppend struct {
	logstream.Log
	startOutage func()
}

func (o *outageBeforeAppend) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	o.startOutage()
	return o.Log.Append(ctx, stream, data)
}

// appendSnapshot appends a snapshot of the current state, as a daemon does.
func appendSnapshot(ctx context.Context, is *is.I, c *Config) {
	history, _, err := c.Replay(ctx)
	is.NoErr(err)
	state, err := history.Encode()
	is.NoErr(err)
	for _, part := range snapshot.Split(logstream.ConfigStream, history.Next, state) {
		id := snapshot.RecordID(part)
		data, err := proto.Marshal(&wire.Record{
			Id: id[:], Version: fleet.RecordVersion, Body: &wire.Record_Snapshot{Snapshot: part},
		})
		is.NoErr(err)
		_, err = c.Log.Append(ctx, logstream.ConfigStream, data)
		is.NoErr(err)
	}
}

func TestTrimmedStreamIsReplayedFromSnapshot(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	c, log := newConfig(t)
	for v := range uint64(3) {
		_, err := c.Patch(ctx, v, dataCentrePatch(fmt.Sprint("d", v)), "")
		is.NoErr(err)
	}
	appendSnapshot(ctx, is, c) // at offset 4
	_, err := c.Patch(ctx, 3, dataCentrePatch("d3"), "")
	is.NoErr(err)

	log.Trim(logstream.ConfigStream, 3)
	history, changes, err := c.Replay(ctx)
	is.NoErr(err)
	is.Equal(history.Version, uint64(4))
	is.Equal(len(history.Config.DataCentres), 4)
	is.True(changes[0].OutcomeUnknown) // the third patch, contained in the snapshot
	version, err := c.Patch(ctx, 4, dataCentrePatch("d4"), "")
	is.NoErr(err)
	is.Equal(version, uint64(5))

	// Without the snapshot the state is unknown and replay fails.
	log.Trim(logstream.ConfigStream, 5)
	_, _, err = c.Replay(ctx)
	is.True(errors.Is(err, logstream.ErrUnavailable))
}

func TestChangeResultErrors(t *testing.T) {
	is := is.New(t)
	_, err := changeResult(Change{OutcomeUnknown: true})
	is.True(errors.Is(err, ErrUnknownOutcome))
	_, err = changeResult(Change{Reason: fleet.ReasonDuplicate})
	is.True(errors.Is(err, ErrUnknownOutcome))
	_, err = changeResult(Change{Base: 1, Current: 2})
	is.True(errors.Is(err, ErrConflict))
	_, err = changeResult(Change{Base: 2, Current: 2})
	is.True(errors.Is(err, ErrRejected) && !errors.Is(err, ErrConflict))
}
