package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/ctl/operator"
	"github.com/sesamemoor/sesamemoor/daemon/edge/edgetest"
)

// The soak test injects random, also concurrent, faults into a fleet of real
// processes under load and checks the guarantees of docs/PROMISES.md from outside.
// The seed determines everything about a run except its timing.
//
// SESAMEMOOR_SOAK_SEEDS is the number of seeds, SESAMEMOOR_SOAK_SEED the first,
// SESAMEMOOR_SOAK_LENGTH the time window in which faults begin (soakFaultWindow by
// default), SESAMEMOOR_SOAK_FLEET the number of daemons (by default the seed
// determines it).

const (
	// soakFaultWindow is the time window in which faults begin.
	soakFaultWindow = 8 * time.Second
	// soakTail is the duration of the load after the recovery.
	soakTail = 2 * time.Second
	// soakRecoveryTimeout is the time after the last fault within which every shard
	// must be served through every daemon. After concurrent losses the planner may
	// have to place shards again.
	soakRecoveryTimeout = 20 * time.Second
	// soakRevocationTimeout is the time after which no daemon may accept a withdrawn
	// caller key.
	soakRevocationTimeout = 7 * time.Second
	// soakShutdownTimeout is the time within which a process must exit after SIGTERM.
	soakShutdownTimeout = 15 * time.Second
	// soakKeys is the number of keys of the workload, soakLookupPeriod its lookup
	// period.
	soakKeys = 16
	// soakIdleConns is the number of connections to a daemon that are idle when it is
	// terminated.
	soakIdleConns    = 40
	soakLookupPeriod = 100 * time.Millisecond
)

// soakRegressions are seeds that found a fault, each with the cause.
var soakRegressions = []struct {
	seed  uint64
	cause string
}{
	{2017, "the emulated log answered 503 to an append that it had stored; the record was a consent, " +
		"and its author revoked it: two owners of a shard"},
}

// soakSeeds are run by default, together with soakRegressions.
var soakSeeds = []uint64{1, 2, 3, 4}

func TestSoak(t *testing.T) {
	seeds := slices.Clone(soakSeeds)
	for _, r := range soakRegressions {
		seeds = append(seeds, r.seed)
	}
	if n := envNumber("SESAMEMOOR_SOAK_SEEDS", 0); n > 0 {
		seeds = nil
		for i := range n {
			seeds = append(seeds, uint64(envNumber("SESAMEMOOR_SOAK_SEED", 1)+i))
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			newSoak(t, seed).execute()
		})
	}
}

func envNumber(name string, defaultValue int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return defaultValue
	}
	return n
}

// soak is the run of one seed.
type soak struct {
	*scenario
	t         *testing.T
	rand      *rand.Rand
	startedAt time.Time
	schedule  []soakFault
	rateLimit float64 // rate (per second) and burst of the workload's team
	killed    map[string]bool
	signals   *rand.Rand     // of the faults that scheduleSignals adds
	answers   *rand.Rand     // of the faults that scheduleAnswerFaults adds
	rollouts  *rand.Rand     // of the roll-outs that scheduleRollouts adds; nil without them
	stopped   *edgetest.Load // the requests on connections that were idle when a daemon was terminated

	mu     sync.Mutex
	errors []string
	kills  []kill
}

// kill is the loss of a daemon: it took place between from and to.
type kill struct {
	daemon   string
	from, to time.Time
}

// soakFault is a fault with its start and end, relative to the start of the run.
// Faults of one process do not overlap; others may.
type soakFault struct {
	name           string
	startAt, endAt time.Duration
	process        string // the affected process, "" for faults of the network or the log
	begin          func() error
	end            func() error
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		scenario: &scenario{dir: filepath.Join(t.TempDir(), fmt.Sprintf("soak-%d", seed)), vars: map[string]string{}, faultSet: map[string]time.Time{}},
		t:        t, rand: rand.New(rand.NewPCG(seed, 0)), signals: rand.New(rand.NewPCG(seed, 1)),
		answers: rand.New(rand.NewPCG(seed, 2)), killed: map[string]bool{},
	}
	if err := os.Mkdir(s.dir, 0o755); err != nil {
		t.Fatal(err)
	}
	s.stopped = edgetest.NewLoad(s.probe, time.Second)
	s.stopped.IdleConns = soakIdleConns
	fleetSlots <- struct{}{}
	opts := fleetOptions{
		size: 4 + s.rand.IntN(5), dcs: []string{"busan-a", "busan-b", "ulsan-c"}, service: "storefront",
		shards: 16 + s.rand.IntN(32), slots: 2 + s.rand.IntN(8), checksFence: s.rand.IntN(2) == 0,
		serviceTime: time.Duration(1+s.rand.IntN(20)) * time.Millisecond,
	}
	if seed%2 == 0 {
		s.rollouts, opts.rollouts = rand.New(rand.NewPCG(seed, 3)), true
	}
	opts.size = envNumber("SESAMEMOOR_SOAK_FLEET", opts.size)
	fleet, err := newFleet(s.dir, opts)
	if err != nil {
		<-fleetSlots
		t.Fatal(err)
	}
	s.fleet = fleet
	t.Cleanup(s.close)
	s.rateLimit = []float64{100, 5000}[s.rand.IntN(2)]
	if err := fleet.start(); err != nil {
		t.Fatal(err)
	}
	teams := map[string]teamOptions{
		"dealer": {rate: s.rateLimit, burst: s.rateLimit}, "counter": {rate: 50, burst: 50}, probeTeam: {rate: 1000, burst: 1000},
	}
	if err := fleet.configure(teams); err != nil {
		t.Fatal(err)
	}
	if err := eventually(startTimeout, s.served); err != nil {
		t.Fatal(err)
	}
	return s
}

// probeTeam is the team of the probe requests. They never reach its rate limit.
const probeTeam = "probe"

func (s *soak) served() error { return s.allServedFor(probeTeam) }

// execute injects the faults under load and checks the results.
func (s *soak) execute() {
	window := soakFaultWindow
	if d, err := time.ParseDuration(os.Getenv("SESAMEMOOR_SOAK_LENGTH")); err == nil {
		window = d
	}
	s.scheduleFaults(window)
	s.scheduleSignals(window)
	s.scheduleAnswerFaults(window)
	s.scheduleRollouts(window)
	s.workload = s.fleet.startWorkload("dealer", soakKeys, strings.Split(s.fleet.entryNames(), ","), soakLookupPeriod, 3*time.Second)
	_ = s.cmdVersions(nil, []string{"start"})
	withdrawn := s.withdrawKey()
	s.startedAt = time.Now()
	var wg sync.WaitGroup
	for _, f := range s.schedule {
		wg.Go(func() { s.inject(f) })
	}
	wg.Wait()
	s.recordError("recovery", eventually(soakRecoveryTimeout, s.served))
	time.Sleep(soakTail)
	s.samples = s.workload.stop()
	s.recordError("configuration versions", s.cmdVersions(nil, []string{"stop"}))
	s.recordError("withdrawn key", withdrawn())
	s.recordError("roll-out", eventually(soakRolloutTime, s.rolloutsEnded))
	s.checkResults()
	if len(s.errors) > 0 || s.t.Failed() {
		s.t.Fatalf("%d problems:\n%s\nfault schedule:\n%s", len(s.errors), strings.Join(s.errors[:min(len(s.errors), maxReported)], "\n"), s.formatSchedule())
	}
}

// scheduleFaults sets a random schedule. Faults of a process that would overlap with
// an earlier one are dropped.
func (s *soak) scheduleFaults(window time.Duration) {
	busyUntil := map[string]time.Duration{} // by process: end of its last fault and restart
	count := 3 + s.rand.IntN(8)
	for range count * int(window/time.Second) / int(soakFaultWindow/time.Second) {
		startAt := time.Duration(s.rand.Int64N(int64(window)))
		f := s.randomFault()
		f.startAt = startAt
		f.endAt = startAt + time.Duration(100+s.rand.IntN(4000))*time.Millisecond
		s.schedule = append(s.schedule, f)
	}
	slices.SortFunc(s.schedule, func(a, b soakFault) int { return int(a.startAt - b.startAt) })
	s.schedule = slices.DeleteFunc(s.schedule, func(f soakFault) bool {
		if f.process == "" {
			return false
		}
		overlaps := f.startAt < busyUntil[f.process]
		if !overlaps {
			busyUntil[f.process] = f.endAt + soakShutdownTimeout // termination may take until after endAt
		}
		return overlaps
	})
}

// scheduleSignals adds SIGHUPs, and to one schedule in four a series of terminations of all
// daemons without a fault of their own, which overlap or come all at once.
func (s *soak) scheduleSignals(window time.Duration) {
	for range s.signals.IntN(6) {
		m := s.fleet.members[s.signals.IntN(len(s.fleet.members))]
		f := s.hangup(m)
		f.startAt = time.Duration(s.signals.Int64N(int64(window)))
		f.endAt = f.startAt
		s.schedule = append(s.schedule, f)
	}
	if s.signals.IntN(4) > 0 {
		return
	}
	at := time.Duration(s.signals.Int64N(int64(window / 2)))
	gap := time.Duration(max(0, s.signals.IntN(2000)-500)) * time.Millisecond
	for _, m := range s.fleet.members {
		if slices.ContainsFunc(s.schedule, func(f soakFault) bool { return f.process == m.daemon.name }) {
			continue
		}
		f := s.restart(m.daemon)
		f.startAt, f.endAt = at, at
		s.schedule = append(s.schedule, f)
		at += gap
	}
}

// scheduleAnswerFaults adds times in which backend servers without a fault of their own break off
// answers, write some twice and some without a length.
func (s *soak) scheduleAnswerFaults(window time.Duration) {
	for range s.answers.IntN(4) {
		m := s.fleet.members[s.answers.IntN(len(s.fleet.members))]
		faults := map[string]any{
			"stutter_every": s.answers.IntN(5), "stutter_ms": s.answers.IntN(8),
			"cut_every": 2 + s.answers.IntN(6), "unframed_every": s.answers.IntN(4),
		}
		startAt := time.Duration(s.answers.Int64N(int64(window)))
		endAt := startAt + time.Duration(500+s.answers.IntN(4000))*time.Millisecond
		if slices.ContainsFunc(s.schedule, func(f soakFault) bool { return f.process == m.backend.name }) {
			continue
		}
		set := func(faults map[string]any) error {
			return s.fleet.sendJSON(http.MethodPut, "http://"+s.fleet.addr(m.index, backendPort)+"/emulate/faults", faults)
		}
		s.schedule = append(s.schedule, soakFault{
			name: fmt.Sprint("spoil answers of ", m.backend.name, " ", faults), process: m.backend.name, startAt: startAt, endAt: endAt,
			begin: func() error { return set(faults) },
			end:   func() error { return set(map[string]any{}) },
		})
	}
}

// soakRolloutTime is the time within which the roll-outs of a soak end.
const soakRolloutTime = 12 * time.Second

// scheduleRollouts adds orders of roll-outs, which overlap with the faults: to a version that has
// servers, back, and to one that has none. An order while another one runs is refused.
func (s *soak) scheduleRollouts(window time.Duration) {
	if s.rollouts == nil {
		return
	}
	config := &operator.Config{Log: logstream.NewHTTP("http://" + s.fleet.logAddr), Operator: "soak"}
	for range 1 + s.rollouts.IntN(3) {
		to := []string{"v2", "v1", "v2", "v3"}[s.rollouts.IntN(4)]
		at := time.Duration(s.rollouts.Int64N(int64(window)))
		withdrawn := s.rollouts.IntN(4) == 0
		s.schedule = append(s.schedule, soakFault{
			name: "roll out " + to, startAt: at, endAt: at + time.Duration(1+s.rollouts.IntN(6))*time.Second,
			begin: func() error { return s.orderRollout(config, to) },
			end: func() error {
				if !withdrawn {
					return nil
				}
				ctx, cancel := context.WithTimeout(context.Background(), soakRolloutTime)
				defer cancel()
				if err := config.EndRollout(ctx, s.fleet.service); err != nil && !errors.Is(err, operator.ErrRejected) {
					return err
				}
				return nil
			},
		})
	}
}

func (s *soak) orderRollout(config *operator.Config, to string) error {
	ctx, cancel := context.WithTimeout(context.Background(), soakRolloutTime)
	defer cancel()
	err := config.OrderRollout(ctx, s.fleet.service, to, soakRolloutTime)
	if errors.Is(err, operator.ErrRejected) {
		return nil // another one runs
	}
	return err
}

// rolloutsEnded returns an error while an order has not ended.
func (s *soak) rolloutsEnded() error {
	config := &operator.Config{Log: logstream.NewHTTP("http://" + s.fleet.logAddr), Operator: "soak"}
	ctx, cancel := context.WithTimeout(context.Background(), soakRolloutTime)
	defer cancel()
	list, err := config.Rollouts(ctx)
	if err != nil {
		return err
	}
	for _, r := range list {
		if r.State != rollout.Completed.String() && r.State != rollout.RolledBack.String() {
			return fmt.Errorf("roll-out to %s has not ended: %s", r.To, r.State)
		}
	}
	return nil
}

// hangup returns a fault that sends SIGHUP to a daemon that is up.
func (s *soak) hangup(m *member) soakFault {
	return soakFault{
		name: "hang up " + m.daemon.name,
		begin: func() error {
			if _, err := s.fleet.status(m); err != nil {
				return nil
			}
			return m.daemon.signal(syscall.SIGHUP)
		},
		end: func() error { return nil },
	}
}

// probe returns a lookup of the probe team.
func (s *soak) probe(n int) edgetest.Request {
	id := uuid.Must(uuid.NewV7()).String()
	return edgetest.Request{ID: id, Text: fmt.Sprintf("GET /%s/key-%d HTTP/1.1\r\nHost: entry\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\n"+
		"X-Sesamemoor-Timeout-Ms: 1000\r\n\r\n", s.fleet.service, n%soakKeys, id, s.fleet.keys[probeTeam])}
}

// randomFault returns a random fault with a random target, without its times.
func (s *soak) randomFault() soakFault {
	m := s.fleet.members[s.rand.IntN(len(s.fleet.members))]
	other := s.fleet.members[s.rand.IntN(len(s.fleet.members))]
	from, to := m.daemon.name, other.daemon.name
	switch s.rand.IntN(4) {
	case 0:
		from, to = m.dc, other.dc
	case 1:
		to = "platform"
	}
	return []func() soakFault{
		func() soakFault { return s.kill(m.daemon) },
		func() soakFault { return s.kill(m.daemon) },
		func() soakFault { return s.kill(m.backend) },
		func() soakFault { return s.freeze(m.daemon) },
		func() soakFault { return s.freeze(m.backend) },
		func() soakFault { return s.restart(m.daemon) },
		func() soakFault { return s.pathFault("cut", from, to, pathCut, s.fleet.net.set) },
		func() soakFault { return s.pathFault("cut one way", from, to, pathCut, s.fleet.net.setOneWay) },
		func() soakFault { return s.pathFault("slow", from, to, pathSlow, s.fleet.net.set) },
		func() soakFault { return s.connFault("blackhole connections", from, to, s.fleet.net.blackhole) },
		func() soakFault { return s.connFault("reset connections", from, to, s.fleet.net.reset) },
		func() soakFault { return s.logFault("down") },
		func() soakFault { return s.logFault("slow", strconv.Itoa(100+s.rand.IntN(900))) },
		func() soakFault { return s.logFault("lose", strconv.Itoa(1+s.rand.IntN(20))) },
	}[s.rand.IntN(14)]()
}

func (s *soak) kill(p *process) soakFault {
	if strings.HasPrefix(p.name, "b") {
		s.killed[p.name] = true
	}
	return soakFault{
		name: "kill " + p.name, process: p.name,
		begin: func() error {
			k := kill{daemon: p.name, from: time.Now()}
			p.kill()
			k.to = time.Now()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.kills = append(s.kills, k)
			return nil
		},
		end: func() error { return p.start(s.dir) },
	}
}

func (s *soak) freeze(p *process) soakFault {
	return soakFault{
		name: "freeze " + p.name, process: p.name,
		begin: func() error { return p.signal(syscall.SIGSTOP) },
		end:   func() error { return p.signal(syscall.SIGCONT) },
	}
}

// restart returns a fault that terminates a process and starts it again. The
// workload keeps sending requests through its entry, and connections that were idle before are
// used again.
func (s *soak) restart(p *process) soakFault {
	return soakFault{
		name: "terminate " + p.name, process: p.name,
		begin: func() error {
			m, err := s.fleet.member(p.name)
			if err != nil {
				return err
			}
			idle := s.stopped.Idle(s.fleet.addr(m.index, entryPort))
			ended := make(chan error, 1)
			go func() { ended <- p.terminate(soakShutdownTimeout) }()
			s.stopped.UseIdle(idle, time.Now(), soakShutdownTimeout)
			return <-ended
		},
		end: func() error { return p.start(s.dir) },
	}
}

// pathFault returns a fault that sets the path state between two daemons, data
// centres or the platform, and opens the paths again at its end.
func (s *soak) pathFault(name, from, to string, state pathState, set func(a, b netip.Addr, state pathState)) soakFault {
	return soakFault{
		name:  fmt.Sprintf("%s %s %s", name, from, to),
		begin: func() error { return s.forEachPair(from, to, func(a, b netip.Addr) { set(a, b, state) }) },
		end: func() error {
			return s.forEachPair(from, to, func(a, b netip.Addr) { s.fleet.net.set(a, b, pathOpen) })
		},
	}
}

// connFault returns a fault that calls apply on the hosts once, for the connections
// that are open then. It needs no end.
func (s *soak) connFault(name, from, to string, apply func(a, b netip.Addr)) soakFault {
	return soakFault{
		name:  fmt.Sprintf("%s %s %s", name, from, to),
		begin: func() error { return s.forEachPair(from, to, apply) },
		end:   func() error { return nil },
	}
}

// logFault returns a fault of the platform's log for all daemons.
func (s *soak) logFault(args ...string) soakFault {
	return soakFault{
		name:  "log " + strings.Join(args, " "),
		begin: func() error { return s.cmdPlatform(nil, args) },
		end:   func() error { return s.cmdPlatform(nil, []string{"up"}) },
	}
}

// forEachPair calls do for each pair of different hosts that the two names refer to.
func (s *soak) forEachPair(from, to string, do func(a, b netip.Addr)) error {
	sources, err := s.fleet.hosts(from)
	if err != nil {
		return err
	}
	targets, err := s.fleet.hosts(to)
	if err != nil {
		return err
	}
	for _, a := range sources {
		for _, b := range targets {
			if a != b {
				do(a, b)
			}
		}
	}
	return nil
}

// inject begins and ends a fault at its scheduled times.
func (s *soak) inject(f soakFault) {
	time.Sleep(time.Until(s.startedAt.Add(f.startAt)))
	s.recordError(f.name, f.begin())
	time.Sleep(time.Until(s.startedAt.Add(f.endAt)))
	s.recordError("end of "+f.name, f.end())
}

// recordError records err, if any, as a problem of the run.
func (s *soak) recordError(what string, err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors = append(s.errors, fmt.Sprintf("%s: %v", what, err))
}

// withdrawKey removes the caller key of the team "counter" and keeps sending requests
// with it. The returned function stops the requests and returns an error if one was
// served although it was sent more than soakRevocationTimeout after the removal.
func (s *soak) withdrawKey() func() error {
	var samples []sample
	stop := make(chan struct{})
	var wg sync.WaitGroup
	_, err := s.fleet.patch(s.fleet.version, `{"teams":{"counter":{"keys":{"k1":null}}}}`)
	s.recordError("withdraw key", err)
	withdrawnAt := time.Now()
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(soakLookupPeriod):
			}
			entry := s.fleet.members[i%len(s.fleet.members)].daemon.name
			samples = append(samples, s.fleet.send("GET", entry, "counter", fmt.Sprintf("key-%d", i%soakKeys), "", time.Second))
		}
	})
	return func() error {
		close(stop)
		wg.Wait()
		for _, r := range samples {
			if late := r.start.Sub(withdrawnAt); r.ok() && late > soakRevocationTimeout {
				return fmt.Errorf("request %s through %s, sent %s after its key was withdrawn, ran", r.id, r.entry, late)
			}
		}
		return nil
	}
}

// checkResults compares the answers to callers with the runs of the backend servers,
// checks the rate limit and that no daemon exited unexpectedly.
func (s *soak) checkResults() {
	runs, err := s.fleet.collectRuns()
	if err != nil {
		s.recordError("records of runs", err)
		return
	}
	for _, problem := range append(checkAnswers(s.samples, runs, s.killed), checkOwnership(runs)...) {
		s.recordError("accounts", errors.New(problem))
	}
	for _, problem := range s.checkRead() {
		s.recordError("connections", errors.New(problem))
	}
	s.recordError("rate", checkRateLimit(s.samples, runs, s.rateLimit, s.rateLimit))
	served := 0
	for _, r := range s.samples {
		if r.ok() {
			served++
		}
	}
	s.t.Logf("%d daemons, %d of %d requests served, rate %.0f\n%s", len(s.fleet.members), served, len(s.samples), s.rateLimit, s.formatSchedule())
	for _, m := range s.fleet.members {
		if m.daemon.ended() {
			s.recordError(m.daemon.name, fmt.Errorf("exited unexpectedly"))
		}
	}
}

// checkRead returns the requests that a daemon had read when it closed their connection,
// without an answer and without being killed.
func (s *soak) checkRead() []string {
	var problems []string
	for _, r := range s.samples {
		killed := slices.ContainsFunc(s.kills, func(k kill) bool {
			return k.daemon == r.entry && !r.start.After(k.to) && !r.end.Before(k.from)
		})
		if r.readAndClosed && !killed {
			problems = append(problems, fmt.Sprintf("request %s through %s, sent at %s, was read, and its connection closed without an answer", r.id, r.entry, r.start.Format(time.RFC3339Nano)))
		}
	}
	for _, r := range s.stopped.Stop() {
		if r.End == edgetest.ReadAndClosed || r.End == edgetest.Cut {
			problems = append(problems, fmt.Sprintf("request %s to a terminated daemon, sent at %s: %v", r.ID, r.SentAt.Format(time.RFC3339Nano), r.End))
		}
	}
	return problems
}

// ended reports whether the process is not running.
func (p *process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return true
	}
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// formatSchedule returns the start time of the run, to match it with the logs, and
// the list of faults.
func (s *soak) formatSchedule() string {
	var lines []string
	for _, f := range s.schedule {
		lines = append(lines, fmt.Sprintf("  %6.2f to %6.2f s  %s", f.startAt.Seconds(), f.endAt.Seconds(), f.name))
	}
	return s.startedAt.Format(time.RFC3339Nano) + "\n" + strings.Join(lines, "\n")
}
