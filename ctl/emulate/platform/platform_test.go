package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

func newLog(t *testing.T, r Retention) (*Server, *logstream.HTTP) {
	s := NewWithRetention(r)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, logstream.NewHTTP(srv.URL)
}

func TestOffsetsStartAtOne(t *testing.T) {
	is := is.New(t)
	_, log := newLog(t, Retention{})
	for want := uint64(1); want <= 3; want++ {
		offset, err := log.Append(t.Context(), "s", []byte{byte(want)})
		is.NoErr(err)
		is.Equal(offset, want)
	}
	batch, err := log.Read(t.Context(), "s", 2, 10, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 2)
	is.Equal(batch.Next, uint64(4))
}

func TestRetentionByCount(t *testing.T) {
	is := is.New(t)
	_, log := newLog(t, Retention{Records: 2})
	for range 5 {
		_, err := log.Append(t.Context(), "s", []byte("x"))
		is.NoErr(err)
	}
	batch, err := log.Read(t.Context(), "s", 1, 10, 0)
	is.True(errors.Is(err, logstream.ErrTrimmed))
	is.Equal(batch.First, uint64(4))
	batch, err = log.Read(t.Context(), "s", 4, 10, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 2)
}

func TestRetentionByAge(t *testing.T) {
	is := is.New(t)
	st := newStream()
	start := time.Now()
	st.append([]byte("a"), start)
	st.append([]byte("b"), start.Add(time.Minute))
	st.applyRetention(Retention{Age: time.Minute}, start.Add(90*time.Second))
	is.Equal(st.first, uint64(2))
}

func TestAppendWithLostResponseTakesEffect(t *testing.T) {
	is := is.New(t)
	s, log := newLog(t, Retention{})
	is.NoErr(s.SetFaults(Faults{LoseResponses: 1}))
	_, err := log.Append(t.Context(), "s", []byte("x"))
	is.True(errors.Is(err, logstream.ErrUnavailable))
	batch, err := log.Read(t.Context(), "s", 1, 10, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
}

func TestOutages(t *testing.T) {
	for _, f := range []Faults{{Down: true}, {Outage: Error}, {Outage: Refuse}, {Outage: Hang}, {Partitioned: []string{"127.0.0.1"}}} {
		is := is.New(t)
		s, log := newLog(t, Retention{})
		is.NoErr(s.SetFaults(f))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := log.Append(ctx, "s", []byte("x"))
		cancel()
		is.True(errors.Is(err, logstream.ErrUnavailable)) // during the fault
		is.NoErr(s.SetFaults(Faults{}))
		_, err = log.Append(t.Context(), "s", []byte("x"))
		is.NoErr(err) // after the fault
	}
}

func TestHangingRequestCompletesAfterOutage(t *testing.T) {
	is := is.New(t)
	s, log := newLog(t, Retention{})
	is.NoErr(s.SetFaults(Faults{Outage: Hang}))
	done := make(chan error, 1)
	go func() {
		_, err := log.Append(t.Context(), "s", []byte("x"))
		done <- err
	}()
	is.NoErr(s.SetFaults(Faults{}))
	is.NoErr(<-done)
}

func TestAppendRateIsLimited(t *testing.T) {
	is := is.New(t)
	s, log := newLog(t, Retention{})
	is.NoErr(s.SetFaults(Faults{MaxAppendsPerSecond: 1e-6})) // the limiter's burst is 1
	refused := 0
	for range 5 {
		if _, err := log.Append(t.Context(), "s", []byte("x")); err != nil {
			refused++
		}
	}
	is.Equal(refused, 4)
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(s.SetFaults(Faults{Outage: "nonsense"}) != nil)
	is.True(s.SetFaults(Faults{Partitioned: []string{"localhost"}}) != nil)
	is.True(s.SetFaults(Faults{DelayMS: -1}) != nil)
}

// A partition by the address on which the log listens separates processes of one
// host, whose client addresses are the same.
func TestPartitionByListenAddress(t *testing.T) {
	is := is.New(t)
	s := New()
	logs := map[string]*logstream.HTTP{}
	for _, ip := range []string{"127.0.0.1", "127.0.0.2"} {
		listener, err := net.Listen("tcp", ip+":0")
		is.NoErr(err)
		srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = srv.Serve(listener) }()
		t.Cleanup(func() { _ = srv.Close() })
		logs[ip] = logstream.NewHTTP("http://" + listener.Addr().String())
	}
	is.NoErr(s.SetFaults(Faults{Partitioned: []string{"127.0.0.2"}}))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := logs["127.0.0.2"].Append(ctx, "s", []byte("x"))
	is.True(errors.Is(err, logstream.ErrUnavailable))
	_, err = logs["127.0.0.1"].Append(t.Context(), "s", []byte("x"))
	is.NoErr(err)
}
