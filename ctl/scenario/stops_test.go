package scenario

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/daemon/edge/edgetest"
)

// SESAMEMOOR_STOPS_LONG=1 plays the stops with eleven daemons. SESAMEMOOR_STOPS_CALLERS is
// the number of callers of each daemon, SESAMEMOOR_STOPS_PAUSE the time between two requests
// of one, SCENARIO_LOGS a directory for the logs.

const (
	// stopsTimeout is the time that callers give a request.
	stopsTimeout = 2 * time.Second
	// stopsTeam is the team of the callers.
	stopsTeam = "dealer"
)

// stops is a play in which each daemon of a fleet is terminated and started again under load.
type stops struct {
	*scenario
	load *edgetest.Load

	mu     sync.Mutex
	sent   int
	echoes map[string]string // by request id: the body of its answer, after the name of the server
}

func newStops(t *testing.T, size int) *stops {
	t.Helper()
	s := &stops{
		scenario: &scenario{dir: filepath.Join(t.TempDir(), "stops"), vars: map[string]string{}, faultSet: map[string]time.Time{}},
		echoes:   map[string]string{},
	}
	s.load = edgetest.NewLoad(s.request, stopsTimeout+time.Second)
	if err := os.Mkdir(s.dir, 0o755); err != nil {
		t.Fatal(err)
	}
	fleetSlots <- struct{}{}
	fleet, err := newFleet(s.dir, fleetOptions{
		size: size, dcs: []string{"busan-a", "busan-b", "ulsan-c"}, service: "storefront", shards: 32, slots: 9,
		checksFence: true, serviceTime: 5 * time.Millisecond,
	})
	if err != nil {
		<-fleetSlots
		t.Fatal(err)
	}
	s.fleet = fleet
	t.Cleanup(s.close)
	if err := errors.Join(fleet.start(), fleet.configure(map[string]teamOptions{stopsTeam: {rate: 1e6, burst: 1e6}})); err != nil {
		t.Fatal(err)
	}
	if err := eventually(startTimeout, s.allServed); err != nil {
		t.Fatal(err)
	}
	return s
}

// request returns a request of one caller, with an id of its own: two reads, then an order.
func (s *stops) request(n int) edgetest.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	id := uuid.Must(uuid.NewV7()).String()
	method, body := http.MethodGet, ""
	if n%3 == 2 {
		method, body = http.MethodPost, strings.Repeat("b", s.sent%900)
	}
	path := fmt.Sprintf("/%s/key-%d/%s", s.fleet.service, s.sent%64, id)
	s.echoes[id] = fmt.Sprintf(" %s %s %d %s", method, path, len(body), id)
	return edgetest.Request{ID: id, Text: fmt.Sprintf("%s %s HTTP/1.1\r\nHost: entry\r\nX-Request-Id: %s\r\n"+
		"X-Sesamemoor-Timeout-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, stopsTimeout.Milliseconds(), s.fleet.keys[stopsTeam], len(body), body)}
}

// restart terminates a daemon, awaits its exit, starts it and awaits that it serves.
func (s *stops) restart(m *member) error {
	addr := s.fleet.addr(m.index, entryPort)
	idle := s.load.Idle(addr)
	ended := make(chan error, 1)
	go func() { ended <- m.daemon.terminate(soakShutdownTimeout) }()
	s.load.UseIdle(idle, time.Now(), soakShutdownTimeout)
	if err := <-ended; err != nil {
		return err
	}
	return errors.Join(m.daemon.start(s.dir), eventually(startTimeout, s.allServed))
}

// check returns an error if the end of a request breaks a guarantee.
func (s *stops) check(r edgetest.Result, runs []run) error {
	if strings.HasPrefix(s.echoes[r.ID], " POST") && len(runs) > 1 {
		return fmt.Errorf("order with %d runs", len(runs))
	}
	switch r.End {
	case edgetest.ReadAndClosed, edgetest.Cut, edgetest.TimedOut:
		return fmt.Errorf("%v, %d runs: %w", r.End, len(runs), r.Err)
	case edgetest.NotConnected, edgetest.NotRead:
		if len(runs) > 0 {
			return fmt.Errorf("%v, %d runs: %w", r.End, len(runs), r.Err)
		}
		return nil
	case edgetest.Answered:
	}
	switch r.Header.Get("X-Sesamemoor-Ran") {
	case "ran":
		if r.Status == http.StatusOK && (len(runs) == 0 || !slices.ContainsFunc(runs, func(run run) bool { return r.Body == run.Backend+s.echoes[r.ID] })) {
			return fmt.Errorf("%d runs, answer is foreign or not whole: %q", len(runs), r.Body)
		}
	case "not-run":
		if len(runs) > 0 || r.Status == http.StatusOK {
			return fmt.Errorf("status %d, reported as not run, %d runs", r.Status, len(runs))
		}
	default:
		if r.Status == http.StatusOK {
			return fmt.Errorf("success that does not tell that the request ran: %v", r.Header)
		}
	}
	unknownHistory := r.Header.Get("X-Sesamemoor-Outcome") == "unknown_history" // after a lapse, docs/LIMITS.md
	if r.Status >= 400 && r.Status < 500 && r.Status != http.StatusTooManyRequests && !unknownHistory {
		return fmt.Errorf("status %d %s", r.Status, r.Header.Get("X-Sesamemoor-Outcome"))
	}
	return nil
}

func TestStopOfNativeInterfaceClosesNoConnectionWhoseRequestWasRead(t *testing.T) {
	is := is.New(t)
	size := 4
	if os.Getenv("SESAMEMOOR_STOPS_LONG") != "" {
		size = 11
	}
	s := newStops(t, size)
	pause, err := time.ParseDuration(os.Getenv("SESAMEMOOR_STOPS_PAUSE"))
	if err != nil {
		pause = 100 * time.Millisecond
	}
	for _, m := range s.fleet.members {
		addr, count := s.fleet.addr(m.index, entryPort), envNumber("SESAMEMOOR_STOPS_CALLERS", 20)
		s.load.Start(edgetest.Callers{Addr: addr, Count: count, Pause: pause})
	}
	var problems []error
	for _, m := range s.fleet.members {
		problems = append(problems, s.restart(m))
	}
	results := s.load.Stop()
	t.Log(edgetest.Report(results))
	all, err := s.fleet.collectRuns()
	is.NoErr(err)
	runs := map[string][]run{}
	for _, r := range all {
		runs[r.RequestID] = append(runs[r.RequestID], r)
	}
	for _, r := range results {
		if err := s.check(r, runs[r.ID]); err != nil {
			problems = append(problems, fmt.Errorf("%s, sent at %s, ended after %v: %w", r.ID, r.SentAt.Format(time.RFC3339Nano), r.After, err))
		}
	}
	is.NoErr(errors.Join(problems...))
}
