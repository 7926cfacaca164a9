package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Run is one request as recorded by the emulated backend server that ran it.
type Run struct {
	At        int64  `json:"at_us"` // start of the run, Unix time in microseconds
	RequestID string `json:"request_id"`
	Team      string `json:"team"`
	KeySeen   bool   `json:"key_seen"`
}

// Audit compares the claims of results with what the backend servers ran.
type Audit struct {
	Requests     int `json:"requests"`
	Ran          int `json:"ran"`           // by claim
	NotRun       int `json:"not_run"`       // by claim
	MayHaveRun   int `json:"may_have_run"`  // by claim
	Unclear      int `json:"unclear"`       // no valid claim
	Resent       int `json:"resent"`        // requests retried with the same id
	DoubleRuns   int `json:"double_runs"`   // non-idempotent requests that ran more than once
	FalseNotRun  int `json:"false_not_run"` // claimed "not run", but ran
	FalseRan     int `json:"false_ran"`     // claimed "ran", but no server ran it; counted only if all run lists are complete
	WrongAnswers int `json:"wrong_answers"` // responses that belong to another request
	WrongTeam    int `json:"wrong_team"`    // runs for a team other than the sender's
	KeysSeen     int `json:"keys_seen"`     // runs in which the backend server received a caller key

	BackendsQueried    int `json:"backends_asked"`
	BackendsIncomplete int `json:"backends_silent"` // run list missing or incomplete

	Examples []string `json:"examples,omitempty"` // request id and fault
}

// maxExamples bounds Audit.Examples.
const maxExamples = 10

// Clean reports whether every result has a valid claim, no fault was found
// and the run lists of all backend servers were complete. It is false if no
// backend server was queried.
func (a Audit) Clean() bool {
	accounted := a.Ran+a.NotRun+a.MayHaveRun == a.Requests
	faults := a.Unclear + a.DoubleRuns + a.FalseNotRun + a.FalseRan + a.WrongAnswers + a.WrongTeam + a.KeysSeen
	return accounted && faults == 0 && a.BackendsIncomplete == 0 && a.BackendsQueried > 0
}

// NewAudit checks results against the runs of the backend servers. queried is
// the number of backend servers, incomplete the number of those whose run list
// is missing or incomplete.
func NewAudit(p Plan, results []Result, runs []Run, queried, incomplete int) Audit {
	a := Audit{Requests: len(results), BackendsQueried: queried, BackendsIncomplete: incomplete}
	byID := map[string][]Run{}
	for _, run := range runs {
		byID[run.RequestID] = append(byID[run.RequestID], run)
		if run.KeySeen {
			a.addFault(&a.KeysSeen, run.RequestID, "backend server received a caller key")
		}
	}
	for _, r := range results {
		a.countClaim(r)
		a.checkResult(p.Teams[r.Team].Name, r, byID[r.ID])
	}
	return a
}

// countClaim counts the claim of a result.
func (a *Audit) countClaim(r Result) {
	switch r.Claim {
	case ClaimRan:
		a.Ran++
	case ClaimNotRun:
		a.NotRun++
	case ClaimMaybe:
		a.MayHaveRun++
	default:
		a.addFault(&a.Unclear, r.ID, "no valid claim, outcome "+r.Outcome)
	}
}

// checkResult checks a result of the team against the runs with its request id.
func (a *Audit) checkResult(team string, r Result, runs []Run) {
	if r.Resends > 0 {
		a.Resent++
	}
	if r.WrongAnswer {
		a.addFault(&a.WrongAnswers, r.ID, "response belongs to another request")
	}
	if !r.Idempotent && len(runs) > 1 {
		a.addFault(&a.DoubleRuns, r.ID, fmt.Sprintf("ran %d times", len(runs)))
	}
	if r.Claim == ClaimNotRun && len(runs) > 0 {
		a.addFault(&a.FalseNotRun, r.ID, "claimed not run, but ran; outcome "+r.Outcome)
	}
	if r.Claim == ClaimRan && len(runs) == 0 && a.BackendsIncomplete == 0 && a.BackendsQueried > 0 {
		a.addFault(&a.FalseRan, r.ID, "claimed ran, but no backend server ran it; outcome "+r.Outcome)
	}
	for _, run := range runs {
		if run.Team != team {
			a.addFault(&a.WrongTeam, r.ID, "ran for team "+run.Team+", expected "+team)
		}
	}
}

// addFault increments the counter of a fault and adds an example.
func (a *Audit) addFault(counter *int, id, reason string) {
	*counter++
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, id+": "+reason)
	}
}

// runsTimeout bounds each HTTP request to a backend server.
const runsTimeout = 20 * time.Second

// FetchRuns fetches the runs of the emulated backend servers at the base URLs in
// backends. incomplete counts the servers that did not respond or dropped runs.
func FetchRuns(ctx context.Context, backends []string) (runs []Run, incomplete int) {
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
			incomplete++
		}
		runs = append(runs, list...)
	}
	return runs, incomplete
}

func getJSON(ctx context.Context, client *http.Client, url string, value any) error {
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
		return fmt.Errorf("%s: unexpected status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(value)
}
