package scenario

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// run is a backend server's record of one request that it ran.
type run struct {
	Backend    string
	RequestID  string `json:"request_id"`
	Team       string `json:"team"`
	Shard      string `json:"shard"`
	Generation string `json:"generation"`
	Method     string `json:"method"`
	StartUS    int64  `json:"at_us"`
	EndUS      int64  `json:"end_us"`   // 0 while running
	Cut        string `json:"cut"`      // how it was interrupted, if it was
	SawKey     bool   `json:"key_seen"` // the request contained a caller key
}

// collectRuns returns the runs that all backend servers recorded since they
// started. It fails if a backend server does not answer.
func (f *fleet) collectRuns() ([]run, error) {
	var all []run
	for _, m := range f.members {
		list, err := f.runsOf(m)
		if err != nil {
			return nil, fmt.Errorf("runs of %s: %w", m.backend.name, err)
		}
		all = append(all, list...)
	}
	return all, nil
}

func (f *fleet) runsOf(m *member) ([]run, error) {
	resp, err := f.client.Get("http://" + f.addr(m.index, backendPort) + "/emulate/runs")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var list []run
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, err
	}
	for i := range list {
		list[i].Backend = m.backend.name
	}
	return list, nil
}

// checkAnswers compares answers with runs and returns every contradiction. The
// backend servers in incomplete were killed, so their earlier runs are missing.
func checkAnswers(samples []sample, runs []run, incomplete map[string]bool) []string {
	var problems []string
	byID := map[string][]run{}
	for _, r := range runs {
		byID[r.RequestID] = append(byID[r.RequestID], r)
		if r.SawKey {
			problems = append(problems, fmt.Sprintf("%s saw a caller key in request %s", r.Backend, r.RequestID))
		}
	}
	orderAttempts := map[string]int{}
	for _, s := range samples {
		if s.order {
			orderAttempts[s.id]++
		}
	}
	for _, s := range samples {
		runsComplete := !incomplete[serverOf(s)]
		problems = append(problems, checkSample(s, byID[s.id], orderAttempts[s.id], runsComplete)...)
	}
	for id, list := range byID {
		if list[0].Method == http.MethodPost && len(list) > 1 {
			problems = append(problems, fmt.Sprintf("order %s ran %d times: %v", id, len(list), list))
		}
	}
	slices.Sort(problems)
	return problems
}

// serverOf returns the backend server named in a successful answer.
func serverOf(s sample) string {
	if !s.ok() {
		return ""
	}
	name, _, _ := strings.Cut(s.body, " ")
	return name
}

// answerFields is the number of words in the body of a backend server's answer. The last one is the
// id of the request.
const answerFields = 5

func checkSample(s sample, runs []run, attempts int, runsComplete bool) []string {
	var problems []string
	if s.err == nil && s.outcome == "" {
		problems = append(problems, fmt.Sprintf("request %s: answer without an outcome, status %d", s.id, s.status))
	}
	if fields := strings.Split(s.body, " "); s.ok() && (len(fields) != answerFields || fields[answerFields-1] != s.id) {
		problems = append(problems, fmt.Sprintf("request %s got the answer to another request, or a part of one: %q", s.id, s.body))
	}
	if s.ran == "ran" && s.outcome == "ok" && len(runs) == 0 && runsComplete {
		problems = append(problems, fmt.Sprintf("request %s was reported as run, but no backend server ran it", s.id))
	}
	// An order sent several times with one id may have run on another attempt.
	if s.ran == "not-run" && len(runs) > 0 && attempts <= 1 {
		problems = append(problems, fmt.Sprintf("request %s was reported as not run (%s), but %s ran it", s.id, s.outcome, runs[0].Backend))
	}
	return problems
}

// ownership is the state of one shard in ownershipModel.
type ownership struct {
	generation uint64
	backend    string
}

// ownershipModel is the sequential specification of exclusive ownership: at any
// time one backend server owns a shard. Its generation only increases, and two
// backend servers never share one.
var ownershipModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byShard := map[string][]porcupine.Operation{}
		for _, op := range history {
			shard := op.Input.(run).Shard
			byShard[shard] = append(byShard[shard], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byShard {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return ownership{} },
	Step: func(state, input, _ any) (bool, any) {
		current := state.(ownership)
		r := input.(run)
		generation, err := strconv.ParseUint(r.Generation, 10, 64)
		switch {
		case err != nil || generation < current.generation:
			return false, current
		case generation == current.generation && current.generation != 0:
			return r.Backend == current.backend, current
		default:
			return true, ownership{generation: generation, backend: r.Backend}
		}
	},
}

// checkTimeout limits the linearizability check.
const checkTimeout = 30 * time.Second

// checkOwnership returns the violations of exclusive ownership of each shard. A
// run that has not ended counts as running until now.
func checkOwnership(runs []run) []string {
	var history []porcupine.Operation
	for i, r := range runs {
		end := r.EndUS
		if end == 0 {
			end = time.Now().UnixMicro()
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: r, Call: r.StartUS, Output: nil, Return: max(end, r.StartUS+1),
		})
	}
	problems := overlappingRuns(runs)
	if result := porcupine.CheckOperationsTimeout(ownershipModel, history, checkTimeout); result != porcupine.Ok {
		problems = append(problems, fmt.Sprintf("history of runs violates exclusive ownership: %s", result))
	}
	return problems
}

// overlappingRuns returns the pairs of runs of one shard on different backend
// servers where the later run started before the earlier one ended.
func overlappingRuns(runs []run) []string {
	byShard := map[string][]run{}
	for _, r := range runs {
		byShard[r.Shard] = append(byShard[r.Shard], r)
	}
	var problems []string
	for shard, list := range byShard {
		slices.SortFunc(list, func(a, b run) int { return int(a.StartUS - b.StartUS) })
		var latest run // the run with the latest end so far
		for _, r := range list {
			if latest.Backend != "" && r.Backend != latest.Backend && r.StartUS < latest.EndUS {
				problems = append(problems, fmt.Sprintf("shard %s ran on two backend servers at once: %+v and %+v", shard, latest, r))
			}
			if r.EndUS >= latest.EndUS {
				latest = r
			}
		}
	}
	return problems
}

// tokenInterval is the interval within which a request took its token: from its
// first attempt to the start of its run.
type tokenInterval struct{ from, to int64 } // microseconds since 1970

// startsByRequest returns the start times of the runs of each request, in their order.
func startsByRequest(runs []run) map[string][]int64 {
	starts := map[string][]int64{}
	for _, r := range runs {
		starts[r.RequestID] = append(starts[r.RequestID], r.StartUS)
	}
	for _, times := range starts {
		slices.Sort(times)
	}
	return starts
}

// checkRateLimit returns an error if, in some time window, more requests took
// their token than rate (per second) and burst allow. Only requests whose token
// interval lies entirely within the window count. Each attempt of the caller takes a token;
// what a daemon sends again takes none.
func checkRateLimit(samples []sample, runs []run, rate, burst float64) error {
	sent, attempts := map[string]int64{}, map[string]int{}
	for _, s := range samples {
		attempts[s.id]++
		if at, ok := sent[s.id]; !ok || s.start.UnixMicro() < at {
			sent[s.id] = s.start.UnixMicro()
		}
	}
	var intervals []tokenInterval
	for id, starts := range startsByRequest(runs) {
		if from, ok := sent[id]; ok {
			for _, to := range starts[:min(len(starts), attempts[id])] {
				intervals = append(intervals, tokenInterval{from: from, to: to})
			}
		}
	}
	if len(intervals) == 0 {
		return errors.New("no runs to check")
	}
	slices.SortFunc(intervals, func(a, b tokenInterval) int { return cmp.Compare(a.to, b.to) })
	for _, first := range intervals {
		count := 0.0
		for _, s := range intervals {
			if s.from < first.from {
				continue
			}
			count++
			seconds := float64(s.to-first.from) / 1e6
			if count > rate*seconds+burst {
				return fmt.Errorf("%.0f requests ran within %.3f s, more than rate and burst allow", count, seconds)
			}
		}
	}
	return nil
}
