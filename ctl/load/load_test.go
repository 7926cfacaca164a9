package load

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite golden files")

// fakeRouter is an entry daemon and its backend server in one HTTP handler. It
// behaves correctly unless one of the fault fields is set.
type fakeRouter struct {
	mu       sync.Mutex
	runs     []Run
	lastBody string // body of the previous response

	runTwice, falseNotRun, falseRan, swapResponses, noClaim, wrongTeam, leakKey bool

	dropFirstResponse bool            // the connection closes without a response to the first attempt, which ran
	noDedup           bool            // a retry runs again
	seen              map[string]bool // request ids, if dropFirstResponse
}

// handleRetry closes the connection on the first attempt of a request and
// responds duplicate_ran to a retry. It returns false if the caller must respond.
func (f *fakeRouter) handleRetry(w http.ResponseWriter, id string) bool {
	if !f.dropFirstResponse {
		return false
	}
	if !f.seen[id] {
		f.seen[id] = true
		panic(http.ErrAbortHandler)
	}
	if f.noDedup {
		return false
	}
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerOutcome, "duplicate_ran")
	w.Header().Set(headerRan, string(ClaimRan))
	w.WriteHeader(http.StatusConflict)
	return true
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case "/emulate/runs":
		_ = json.NewEncoder(w).Encode(f.runs)
		return
	case "/emulate/state":
		_, _ = io.WriteString(w, "{}")
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(headerRequest)
	run := Run{RequestID: id, Team: r.Header.Get("Authorization")[len("Bearer "):], KeySeen: f.leakKey}
	if f.wrongTeam {
		run.Team = "another"
	}
	if !f.falseRan && (f.noDedup || !f.seen[id]) {
		f.runs = append(f.runs, run)
	}
	if f.runTwice {
		f.runs = append(f.runs, run)
	}
	if f.handleRetry(w, id) {
		return
	}
	responseBody := fmt.Sprintf("b1 %s %s %d %s", r.Method, r.URL.Path, len(body), id)
	if f.swapResponses && f.lastBody != "" {
		responseBody, f.lastBody = f.lastBody, responseBody
	} else {
		f.lastBody = responseBody
	}
	w.Header().Set(headerRequest, id)
	if f.noClaim {
		return
	}
	w.Header().Set(headerOutcome, outcomeOK)
	w.Header().Set(headerRan, string(ClaimRan))
	if f.falseNotRun {
		w.Header().Set(headerOutcome, "not_owner")
		w.Header().Set(headerRan, string(ClaimNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, responseBody)
}

// runAudit sends a short load to the router and audits the results.
func runAudit(t *testing.T, f *fakeRouter) Audit {
	t.Helper()
	srv := httptest.NewServer(f)
	defer srv.Close()
	plan := Plan{
		Seed: 1, DurationMS: 200, TimeoutMS: 2000, MaxOutstanding: 100, Keys: 10, Resends: 1,
		Targets: []string{srv.URL}, Backends: []string{srv.URL},
		// The caller key is the team name, from which the fake derives the team.
		Teams: []Team{{Name: "t1", Key: "t1", Rate: 200, Paths: []string{"/s"}, Idempotent: 0.5}},
	}
	if err := plan.Check(); err != nil {
		t.Fatal(err)
	}
	results := NewSender(plan).Run(t.Context())
	runs, incomplete := FetchRuns(t.Context(), plan.Backends)
	return NewAudit(plan, results, runs, len(plan.Backends), incomplete)
}

func TestAuditOfCorrectRouterIsClean(t *testing.T) {
	is := is.New(t)
	a := runAudit(t, &fakeRouter{})
	is.True(a.Requests > 0)
	is.Equal(a.Ran, a.Requests)
	is.True(a.Clean())
}

func TestRetriedRequestsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	a := runAudit(t, &fakeRouter{dropFirstResponse: true, seen: map[string]bool{}})
	is.True(a.Requests > 0)
	is.Equal(a.Resent, a.Requests)
	is.Equal(a.Ran, a.Requests)
	is.True(a.Clean())
}

func TestAuditDetectsFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		router  *fakeRouter
		counter func(Audit) int
	}{
		"double runs":       {&fakeRouter{runTwice: true}, func(a Audit) int { return a.DoubleRuns }},
		"resent runs twice": {&fakeRouter{dropFirstResponse: true, noDedup: true, seen: map[string]bool{}}, func(a Audit) int { return a.DoubleRuns }},
		"false not run":     {&fakeRouter{falseNotRun: true}, func(a Audit) int { return a.FalseNotRun }},
		"false ran":         {&fakeRouter{falseRan: true}, func(a Audit) int { return a.FalseRan }},
		"crossed answers":   {&fakeRouter{swapResponses: true}, func(a Audit) int { return a.WrongAnswers }},
		"no claim":          {&fakeRouter{noClaim: true}, func(a Audit) int { return a.Unclear }},
		"wrong team":        {&fakeRouter{wrongTeam: true}, func(a Audit) int { return a.WrongTeam }},
		"leaked caller key": {&fakeRouter{leakKey: true}, func(a Audit) int { return a.KeysSeen }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := runAudit(t, tc.router)
			is.True(tc.counter(a) > 0)
			is.True(!a.Clean())
		})
	}
}

func TestAuditWithoutAllRunListsIsNotClean(t *testing.T) {
	is := is.New(t)
	p := Plan{Teams: []Team{{Name: "t"}}}
	results := []Result{{ID: "r1", Claim: ClaimRan, Outcome: outcomeOK}}
	runs := []Run{{RequestID: "r1", Team: "t"}}
	is.True(NewAudit(p, results, runs, 1, 0).Clean())
	is.True(!NewAudit(p, results, runs, 0, 0).Clean())
	is.True(!NewAudit(p, results, runs, 2, 1).Clean())
}

func TestUnreachableEntryIsNotRun(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close() // its port now refuses connections
	plan := Plan{Seed: 1, DurationMS: 50, TimeoutMS: 100, MaxOutstanding: 10, Keys: 1,
		Targets: []string{srv.URL}, Teams: []Team{{Name: "t", Rate: 200, Paths: []string{"/s"}}}}
	results := NewSender(plan).Run(t.Context())
	is.True(len(results) > 0)
	for _, r := range results {
		is.Equal(r.Outcome, outcomeUnreachable)
		is.Equal(r.Claim, ClaimNotRun)
	}
}

// Guards against a closed-loop sender. The server responds to no request before
// all requests of the run have arrived: a sender that waits for responses does
// not send the later requests, and a latency that does not begin at the intended
// send time omits the wait.
func TestSenderIsOpenLoop(t *testing.T) {
	is := is.New(t)
	plan := Plan{Seed: 1, DurationMS: 200, TimeoutMS: 10_000, MaxOutstanding: 1000, Keys: 1,
		Targets: []string{"http://127.0.0.1:1"}, Teams: []Team{{Name: "t", Rate: 100, Paths: []string{"/s"}}}}
	total := 0
	var last time.Duration
	for sched := newSchedule(plan, 0); ; total++ {
		req, ok := sched.next()
		if !ok {
			break
		}
		last = req.at
	}
	is.True(total > 5)
	var pendingArrivals sync.WaitGroup
	pendingArrivals.Add(total)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pendingArrivals.Done()
		pendingArrivals.Wait()
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		w.Header().Set(headerRan, string(ClaimRan))
	}))
	defer srv.Close()
	plan.Targets = []string{srv.URL}
	results := NewSender(plan).Run(t.Context())
	is.Equal(len(results), total)
	for _, r := range results {
		is.Equal(r.Claim, ClaimRan)
		is.True(r.At+r.Latency >= last) // no response arrived before the last request was due
	}
}

func TestScheduleIsSeeded(t *testing.T) {
	is := is.New(t)
	plan := Plan{Seed: 7, DurationMS: 5000, Keys: 100, Skew: 1.5, HotKeyChangeMS: 1000, Targets: []string{"a", "b"},
		Teams: []Team{{Name: "t", Rate: 500, Paths: []string{"/s"}, Idempotent: 0.5}}}
	first, second := newSchedule(plan, 0), newSchedule(plan, 0)
	requestsByKey := map[int]map[string]int{}
	for {
		a, ok := first.next()
		b, _ := second.next()
		if !ok {
			break
		}
		a.id, b.id = "", "" // ids are random
		is.Equal(a, b)
		epoch := int(a.at / time.Second)
		if requestsByKey[epoch] == nil {
			requestsByKey[epoch] = map[string]int{}
		}
		requestsByKey[epoch][a.path]++
	}
	is.True(requestsByKey[0]["/s/k0"] > requestsByKey[0]["/s/k19"])
	is.True(requestsByKey[1]["/s/k19"] > requestsByKey[1]["/s/k0"]) // 7919 mod 100 is 19
}

func TestReportGolden(t *testing.T) {
	is := is.New(t)
	plan := Plan{Seed: 3, DurationMS: 3000, Teams: []Team{{Name: "large", Limit: 1, Burst: 2}, {Name: "small", Limit: 5, Burst: 5}}}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	results := []Result{
		{ID: "1", Team: 0, Path: "/s/a", At: at(10), Latency: at(5), Outcome: outcomeOK, Claim: ClaimRan},
		{ID: "2", Team: 0, Path: "/s/a", At: at(20), Latency: at(7), Outcome: outcomeOK, Claim: ClaimRan},
		{ID: "3", Team: 0, Path: "/s/a", At: at(30), Latency: at(1), Outcome: "rate_limited", Claim: ClaimNotRun},
		{ID: "4", Team: 1, Path: "/s/b", At: at(40), Latency: at(1), Outcome: "rate_limited", Claim: ClaimNotRun},
		{ID: "5", Team: 1, Path: "/s/b", At: at(1000), Latency: at(9), Outcome: "no_owner", Claim: ClaimNotRun},
		{ID: "6", Team: 1, Path: "/s/b", At: at(1500), Latency: at(9), Outcome: "no_owner", Claim: ClaimNotRun},
		{ID: "7", Team: 1, Path: "/s/b", At: at(2000), Latency: at(4), Outcome: outcomeOK, Claim: ClaimRan},
		{ID: "8", Team: 1, Path: "/s/c", At: at(2500), Latency: at(4), Outcome: "connection_lost", Claim: ClaimMaybe},
	}
	runs := []Run{{RequestID: "1", Team: "large"}, {RequestID: "2", Team: "large"}, {RequestID: "7", Team: "small"}, {RequestID: "7", Team: "small"}}
	report := NewReport(plan, results, NewAudit(plan, results, runs, 1, 0))
	var text bytes.Buffer
	is.NoErr(report.WriteText(&text))
	golden(t, "report.txt", text.Bytes())
	data, err := json.MarshalIndent(report, "", "  ")
	is.NoErr(err)
	golden(t, "report.json", data)
	dir := t.TempDir()
	is.NoErr(report.WritePlots(dir))
	for _, name := range []string{"latency.png", "throughput.png", "refusals.png"} {
		info, err := os.Stat(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(info.Size() > 0)
	}
}

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name)
	if *update {
		is.NoErr(os.WriteFile(file, got, 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(got), string(want))
}

func TestInvalidPlansAreRejected(t *testing.T) {
	validPrefix := `{"duration_ms": 10, "targets": ["http://127.0.0.1:1"], "teams": [{"name": "t", "rate": 1, "paths": ["/s"]}]`
	is := is.New(t)
	_, err := ParsePlan([]byte(validPrefix + "}"))
	is.NoErr(err)
	for _, invalid := range []string{`{`, `{}`, validPrefix + `, "skew": 0.5}`, validPrefix + `, "max_outstanding": 0}`, validPrefix + `, "duration_ms": 999999999}`, validPrefix + `, "unknown": 1}`} {
		_, err := ParsePlan([]byte(invalid))
		is.True(err != nil)
	}
}

func TestHotShareGoesToHotKeys(t *testing.T) {
	is := is.New(t)
	plan := Plan{Seed: 7, DurationMS: 10_000, Keys: 1000, HotKeys: 2, HotShare: 0.5, TargetSwitchMS: 1000,
		Targets: []string{"a", "b"}, Teams: []Team{{Name: "t", Rate: 500, Paths: []string{"/s"}}}}
	sched := newSchedule(plan, 0)
	hot, all := 0, 0
	for {
		r, ok := sched.next()
		if !ok {
			break
		}
		all++
		if r.path == "/s/k0" || r.path == "/s/k1" {
			hot++
		}
		is.Equal(r.target, int(r.at/time.Second)%2)
	}
	is.True(hot*10 > all*4 && hot*10 < all*6)
}
