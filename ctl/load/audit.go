package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Run is one request that an emulated backend server ran.
type Run struct {
	At        int64  `json:"at_us"` // start, wall clock, microseconds since 1970
	RequestID string `json:"request_id"`
	Team      string `json:"team"`
	KeySeen   bool   `json:"key_seen"`
}

// Audit compares the answers with what the backend servers ran.
type Audit struct {
	Requests     int `json:"requests"`
	Ran          int `json:"ran"`          // by the answers
	NotRun       int `json:"not_run"`      // by the answers
	MayHaveRun   int `json:"may_have_run"` // by the answers
	Unclear      int `json:"unclear"`      // answers without a claim
	Resent       int `json:"resent"`       // requests sent again under their ids
	DoubleRuns   int `json:"double_runs"`  // non-idempotent requests that ran more than once
	FalseNotRun  int `json:"false_not_run"`
	FalseRan     int `json:"false_ran"` // "ran" without a run; counted only if all backend servers answered
	WrongAnswers int `json:"wrong_answers"`
	WrongTeam    int `json:"wrong_team"` // runs under another team than the sender's
	KeysSeen     int `json:"keys_seen"`  // runs that came with a caller key

	BackendsAsked  int `json:"backends_asked"`
	BackendsSilent int `json:"backends_silent"` // their runs are unknown

	Examples []string `json:"examples,omitempty"` // of requests with a fault
}

// maxExamples bounds the examples of an audit.
const maxExamples = 10

// Clean reports whether every request is accounted for and none has a fault.
func (a Audit) Clean() bool {
	accounted := a.Ran+a.NotRun+a.MayHaveRun == a.Requests
	faults := a.Unclear + a.DoubleRuns + a.FalseNotRun + a.FalseRan + a.WrongAnswers + a.WrongTeam + a.KeysSeen
	return accounted && faults == 0 && a.BackendsSilent == 0 && a.BackendsAsked > 0
}

// NewAudit compares results with runs.
func NewAudit(p Plan, results []Result, runs []Run, asked, silent int) Audit {
	a := Audit{Requests: len(results), BackendsAsked: asked, BackendsSilent: silent}
	byID := map[string][]Run{}
	for _, run := range runs {
		byID[run.RequestID] = append(byID[run.RequestID], run)
		if run.KeySeen {
			a.fault(&a.KeysSeen, run.RequestID, "a caller key reached the backend server")
		}
	}
	for _, r := range results {
		a.claim(r)
		a.check(p.Teams[r.Team].Name, r, byID[r.ID])
	}
	return a
}

func (a *Audit) claim(r Result) {
	switch r.Claim {
	case ClaimRan:
		a.Ran++
	case ClaimNotRun:
		a.NotRun++
	case ClaimMaybe:
		a.MayHaveRun++
	default:
		a.fault(&a.Unclear, r.ID, "no claim, outcome "+r.Outcome)
	}
}

func (a *Audit) check(team string, r Result, runs []Run) {
	if r.Resends > 0 {
		a.Resent++
	}
	if r.Wrong {
		a.fault(&a.WrongAnswers, r.ID, "answer of another request")
	}
	if !r.Idempotent && len(runs) > 1 {
		a.fault(&a.DoubleRuns, r.ID, fmt.Sprintf("ran %d times", len(runs)))
	}
	if r.Claim == ClaimNotRun && len(runs) > 0 {
		a.fault(&a.FalseNotRun, r.ID, "ran although the answer says not run: "+r.Outcome)
	}
	if r.Claim == ClaimRan && len(runs) == 0 && a.BackendsSilent == 0 && a.BackendsAsked > 0 {
		a.fault(&a.FalseRan, r.ID, "no run although the answer says ran: "+r.Outcome)
	}
	for _, run := range runs {
		if run.Team != team {
			a.fault(&a.WrongTeam, r.ID, "ran for team "+run.Team+" in place of "+team)
		}
	}
}

func (a *Audit) fault(counter *int, id, what string) {
	*counter++
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, id+": "+what)
	}
}

// runsTimeout bounds the question to one backend server.
const runsTimeout = 20 * time.Second

// AskRuns asks the emulated backend servers what they ran. Those that do not
// answer, or did not keep everything, count as silent.
func AskRuns(ctx context.Context, backends []string) (runs []Run, silent int) {
	client := &http.Client{Timeout: runsTimeout}
	for _, base := range backends {
		var state struct {
			Dropped int `json:"runs_dropped"`
		}
		var list []Run
		err := getJSON(ctx, client, base+"/emulate/runs", &list)
		if err == nil {
			err = getJSON(ctx, client, base+"/emulate/state", &state)
		}
		if err != nil || state.Dropped > 0 {
			silent++
		}
		runs = append(runs, list...)
	}
	return runs, silent
}

func getJSON(ctx context.Context, client *http.Client, url string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}
