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

// fakeRouter is an entry daemon and its backend server in one, which keeps its
// promises unless told otherwise.
type fakeRouter struct {
	mu   sync.Mutex
	runs []Run
	last string // body of the answer before

	double, lieNotRun, lieRan, cross, silent, wrongTeam, leakKey bool

	loseFirst bool // the first answer to each request is lost after it ran
	forgetful bool // a request that is sent again runs again
	seen      map[string]bool
}

// resent answers a request that ran before, or loses the answer to one that
// did not. It reports false when the request is to be answered as usual.
func (f *fakeRouter) resent(w http.ResponseWriter, id string) bool {
	if !f.loseFirst {
		return false
	}
	if !f.seen[id] {
		f.seen[id] = true
		panic(http.ErrAbortHandler)
	}
	if f.forgetful {
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
	if !f.lieRan && (f.forgetful || !f.seen[id]) {
		f.runs = append(f.runs, run)
	}
	if f.double {
		f.runs = append(f.runs, run)
	}
	if f.resent(w, id) {
		return
	}
	answer := fmt.Sprintf("b1 %s %s %d %s", r.Method, r.URL.Path, len(body), id)
	if f.cross && f.last != "" {
		answer, f.last = f.last, answer
	} else {
		f.last = answer
	}
	w.Header().Set(headerRequest, id)
	if f.silent {
		return
	}
	w.Header().Set(headerOutcome, outcomeOK)
	w.Header().Set(headerRan, string(ClaimRan))
	if f.lieNotRun {
		w.Header().Set(headerOutcome, "not_owner")
		w.Header().Set(headerRan, string(ClaimNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, answer)
}

// audit runs a small load against the router and audits it.
func audit(t *testing.T, f *fakeRouter) Audit {
	t.Helper()
	srv := httptest.NewServer(f)
	defer srv.Close()
	plan := Plan{
		Seed: 1, DurationMS: 200, TimeoutMS: 2000, MaxOutstanding: 100, Keys: 10, Resends: 1,
		Targets: []string{srv.URL}, Backends: []string{srv.URL},
		// The key names the team, so that the fake can tell it.
		Teams: []Team{{Name: "t1", Key: "t1", Rate: 200, Paths: []string{"/s"}, Idempotent: 0.5}},
	}
	if err := plan.Check(); err != nil {
		t.Fatal(err)
	}
	results := NewSender(plan).Run(t.Context())
	runs, silent := AskRuns(t.Context(), plan.Backends)
	return NewAudit(plan, results, runs, len(plan.Backends), silent)
}

func TestHonestRouterIsClean(t *testing.T) {
	is := is.New(t)
	a := audit(t, &fakeRouter{})
	is.True(a.Requests > 0)
	is.Equal(a.Ran, a.Requests)
	is.True(a.Clean())
}

func TestResentRequestsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	a := audit(t, &fakeRouter{loseFirst: true, seen: map[string]bool{}})
	is.True(a.Requests > 0)
	is.Equal(a.Resent, a.Requests)
	is.Equal(a.Ran, a.Requests)
	is.True(a.Clean())
}

func TestAuditCatches(t *testing.T) {
	for name, tc := range map[string]struct {
		router  *fakeRouter
		counter func(Audit) int
	}{
		"double runs":       {&fakeRouter{double: true}, func(a Audit) int { return a.DoubleRuns }},
		"resent runs twice": {&fakeRouter{loseFirst: true, forgetful: true, seen: map[string]bool{}}, func(a Audit) int { return a.DoubleRuns }},
		"false not run":     {&fakeRouter{lieNotRun: true}, func(a Audit) int { return a.FalseNotRun }},
		"false ran":         {&fakeRouter{lieRan: true}, func(a Audit) int { return a.FalseRan }},
		"crossed answers":   {&fakeRouter{cross: true}, func(a Audit) int { return a.WrongAnswers }},
		"no claim":          {&fakeRouter{silent: true}, func(a Audit) int { return a.Unclear }},
		"wrong team":        {&fakeRouter{wrongTeam: true}, func(a Audit) int { return a.WrongTeam }},
		"leaked caller key": {&fakeRouter{leakKey: true}, func(a Audit) int { return a.KeysSeen }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := audit(t, tc.router)
			is.True(tc.counter(a) > 0)
			is.True(!a.Clean())
		})
	}
}

func TestUnaskedBackendsAreNotClean(t *testing.T) {
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
	srv.Close() // nothing listens there any more
	plan := Plan{Seed: 1, DurationMS: 50, TimeoutMS: 100, MaxOutstanding: 10, Keys: 1,
		Targets: []string{srv.URL}, Teams: []Team{{Name: "t", Rate: 200, Paths: []string{"/s"}}}}
	results := NewSender(plan).Run(t.Context())
	is.True(len(results) > 0)
	for _, r := range results {
		is.Equal(r.Outcome, outcomeUnreachable)
		is.Equal(r.Claim, ClaimNotRun)
	}
}

// The server answers nothing until it holds every request of the run. A sender
// that waited for answers would never send the later ones, and one that counted
// from the first answer would hide the wait.
func TestSendingDoesNotWaitForAnswers(t *testing.T) {
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
	var held sync.WaitGroup
	held.Add(total)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held.Done()
		held.Wait()
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		w.Header().Set(headerRan, string(ClaimRan))
	}))
	defer srv.Close()
	plan.Targets = []string{srv.URL}
	results := NewSender(plan).Run(t.Context())
	is.Equal(len(results), total)
	for _, r := range results {
		is.Equal(r.Claim, ClaimRan)
		is.True(r.At+r.Latency >= last) // none was answered before the last was sent
	}
}

func TestScheduleIsSeeded(t *testing.T) {
	is := is.New(t)
	plan := Plan{Seed: 7, DurationMS: 5000, Keys: 100, Skew: 1.5, HotMoveMS: 1000, Targets: []string{"a", "b"},
		Teams: []Team{{Name: "t", Rate: 500, Paths: []string{"/s"}, Idempotent: 0.5}}}
	first, second := newSchedule(plan, 0), newSchedule(plan, 0)
	hot := map[int]map[string]int{}
	for {
		a, ok := first.next()
		b, _ := second.next()
		if !ok {
			break
		}
		a.id, b.id = "", "" // ids are unique
		is.Equal(a, b)
		epoch := int(a.at / time.Second)
		if hot[epoch] == nil {
			hot[epoch] = map[string]int{}
		}
		hot[epoch][a.path]++
	}
	is.True(hot[0]["/s/k0"] > hot[0]["/s/k19"])
	is.True(hot[1]["/s/k19"] > hot[1]["/s/k0"]) // 7919 mod 100 is 19
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

func TestBadPlansAreRefused(t *testing.T) {
	good := `{"duration_ms": 10, "targets": ["http://127.0.0.1:1"], "teams": [{"name": "t", "rate": 1, "paths": ["/s"]}]`
	is := is.New(t)
	_, err := ParsePlan([]byte(good + "}"))
	is.NoErr(err)
	for _, bad := range []string{`{`, `{}`, good + `, "skew": 0.5}`, good + `, "max_outstanding": 0}`, good + `, "duration_ms": 999999999}`, good + `, "unknown": 1}`} {
		_, err := ParsePlan([]byte(bad))
		is.True(err != nil)
	}
}

func TestHotShareGoesToHotKeys(t *testing.T) {
	is := is.New(t)
	plan := Plan{Seed: 7, DurationMS: 10_000, Keys: 1000, HotKeys: 2, HotShare: 0.5, TargetMoveMS: 1000,
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
