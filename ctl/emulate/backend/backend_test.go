package backend

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTimeout bounds each step of a test.
const testTimeout = 5 * time.Second

func startServer(t *testing.T, opts Options) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	opts.Name, opts.Service = "b1", "s"
	s := New(opts)
	go func() { _ = s.Serve(listener) }()
	return s, "http://" + listener.Addr().String()
}

func request(ctx context.Context, method, url, body string, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.GetBody = nil
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// waitFor polls the server's state until ok returns true. It fails the test after
// testTimeout.
func waitFor(t *testing.T, s *Server, ok func(State) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok(s.State()) {
			return
		}
	}
	t.Fatalf("condition is not met after %s: state %+v", testTimeout, s.State())
}

func TestResponseIdentifiesRequest(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t, Options{Slots: 2})
	resp, body, err := request(t.Context(), "POST", url+"/s/k?x=1", "abc", headerRequestID, "r1", headerTeam, "team")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "b1 POST /s/k?x=1 3 r1")
	is.Equal(len(s.runs), 1)
	is.Equal(s.runs[0].Team, "team")
	is.True(s.runs[0].End >= s.runs[0].Start)
}

func TestRequestBeyondSlotsIsShed(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t, Options{Slots: 1, ServiceTime: testTimeout})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _, _ = request(ctx, "GET", url+"/s/k", "") }()
	waitFor(t, s, func(st State) bool { return st.Running == 1 })
	resp, _, err := request(t.Context(), "GET", url+"/s/k", "")
	is.NoErr(err)
	is.Equal(resp.Header.Get(headerRefused), "shed")
	cancel() // closing the connection cancels the run
	waitFor(t, s, func(st State) bool { return st.Running == 0 })
	is.Equal(s.runs[0].AbortReason, "cancelled")
	is.Equal(len(s.runs), 1) // a shed request is not recorded as a run
}

func TestDeadlineAbortsRun(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t, Options{Slots: 1, ServiceTime: testTimeout})
	resp, body, err := request(t.Context(), "GET", url+"/s/k", "", headerDeadline, "20", headerRequestID, "r1")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(body, "b1 GET /s/k 0 r1") // the response still identifies the request
	is.Equal(s.runs[0].AbortReason, "deadline")
}

func TestFencing(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		is := is.New(t)
		s, url := startServer(t, Options{Slots: 1, ChecksFence: checksFence})
		_, _, err := request(t.Context(), "POST", url+"/sesamemoor/grant?service=s&shard=3&generation=7", "")
		is.NoErr(err)
		// A grant of another service has no effect.
		_, _, err = request(t.Context(), "POST", url+"/sesamemoor/grant?service=_keeper&shard=3&generation=9", "")
		is.NoErr(err)
		resp, _, err := request(t.Context(), "GET", url+"/s/k", "", headerShard, "3", headerGeneration, "6")
		is.NoErr(err)
		is.Equal(resp.Header.Get(headerRefused) == "fenced", checksFence)
		resp, _, err = request(t.Context(), "GET", url+"/s/k", "", headerShard, "3", headerGeneration, "7")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(s.State().Fenced > 0, checksFence)
	}
}

func TestCrashRequestRestartsServerCold(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t, Options{Slots: 4, ServiceTime: testTimeout, WarmUp: time.Hour})
	oldBootID := s.State().BootID
	other := make(chan error, 1)
	go func() {
		_, _, err := request(t.Context(), "GET", url+"/s/other", "")
		other <- err
	}()
	waitFor(t, s, func(st State) bool { return st.Running == 1 })
	s.mu.Lock()
	s.capacity.coldSince = time.Now().Add(-2 * time.Hour) // warm
	s.mu.Unlock()
	_, _, err := request(t.Context(), "POST", url+"/s/k", crashBodyPrefix)
	is.True(err != nil)       // the crash leaves the request without a response
	is.True((<-other) != nil) // and the concurrent request too
	waitFor(t, s, func(st State) bool { return st.Running == 0 })
	st := s.State()
	is.Equal(st.Crashes, 1)
	is.True(st.BootID != oldBootID)
	is.True(st.Cold)
	is.Equal(st.Runs, 2) // the record of runs is kept
}

func TestCallerKeyIsDetected(t *testing.T) {
	for _, headers := range [][]string{{"Authorization", "Bearer x"}, {"X-Api-Key", "x"}, {"X-Other", "smk_abc"}} {
		is := is.New(t)
		s, url := startServer(t, Options{Slots: 1})
		_, _, err := request(t.Context(), "GET", url+"/s/k", "", headers...)
		is.NoErr(err)
		is.Equal(s.State().KeysSeen, 1)
	}
}

func TestServerResumesAfterFreeze(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t, Options{Slots: 1})
	s.SetFaults(Faults{Frozen: true})
	resp, _, err := request(t.Context(), "GET", url+"/s/k", "", headerDeadline, "50")
	is.NoErr(err)
	is.Equal(resp.Header.Get(headerRefused), "expired") // the request is not started after its deadline
	s.SetFaults(Faults{})
	resp, _, err = request(t.Context(), "GET", url+"/s/k", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(s.runs), 1)
}

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t, Options{Slots: 2, MaxConns: 1, ServiceTime: testTimeout})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _, _ = request(ctx, "GET", url+"/s/k", "") }()
	waitFor(t, s, func(st State) bool { return st.Running == 1 })
	_, _, err := request(t.Context(), "GET", url+"/s/k", "")
	is.True(err != nil)
}

func TestColdServerStallsWhenOverloaded(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	c := newCapacity(Options{Slots: 10, ServiceTime: time.Millisecond, WarmUp: 10 * time.Second, StallTime: 3 * time.Second}, start)
	is.Equal(c.maxRunning(start), 2)
	is.Equal(c.serviceTime(start, 0), coldSlowdown*time.Millisecond)
	is.True(c.admit(start))
	is.True(c.admit(start))
	is.True(!c.admit(start)) // the third request overloads the cold server
	is.Equal(c.overloads, 1)
	is.Equal(c.remainingStall(start), 3*time.Second)
	c.release()
	c.release()
	is.True(!c.admit(start.Add(2 * time.Second))) // still stalled
	recovered := start.Add(3 * time.Second)
	is.True(c.admit(recovered)) // the server is cold after the stall
	is.Equal(c.maxRunning(recovered), 2)
	warm := recovered.Add(10 * time.Second)
	is.Equal(c.maxRunning(warm), 10)
	is.Equal(c.serviceTime(warm, 5), 5*time.Millisecond) // a slow factor of 5 applies to a warm server too
}

func TestReportedLoadIsDelayed(t *testing.T) {
	is := is.New(t)
	s := New(Options{Slots: 2, ReportLag: time.Second})
	start := time.Now()
	s.recordLoad(start)
	s.capacity.running = 2
	s.recordLoad(start.Add(900 * time.Millisecond))
	is.Equal(s.reportedLoad().Running, 0)
	s.recordLoad(start.Add(2 * time.Second))
	is.Equal(s.reportedLoad().Running, 2)
}

func TestServerAnnouncesLeaveBeforeStopping(t *testing.T) {
	is := is.New(t)
	received := make(chan announcement, 100)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		received <- a
		_ = json.NewEncoder(w).Encode(map[string]any{"drained": a.Leaving, "held": 0})
	}))
	defer daemon.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(Options{Name: "b1", Service: "s", Addr: listener.Addr().String(), Slots: 3, DaemonAdmin: daemon.Listener.Addr().String()})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, listener) }()
	first := <-received
	is.Equal(first.Slots, 3)
	is.True(!first.Leaving)
	stop()
	is.NoErr(<-done)
	last := first
	for len(received) > 0 {
		last = <-received
	}
	is.True(last.Leaving)
	select {
	case <-s.Drained():
	default:
		t.Fatal("server stopped before the daemon reported it as drained")
	}
}
