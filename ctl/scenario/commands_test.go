package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// startTimeout is the time for a new fleet to place all shards.
	startTimeout = 30 * time.Second
	// pollInterval is the time between two evaluations of a condition.
	pollInterval = 20 * time.Millisecond
)

// cmdFleet: fleet size=5 dcs=a,b,c shards=32 fence=true rate=5000 starts and
// configures a fleet and waits until every shard is served. It blocks while
// maxFleets fleets are running.
func (s *scenario) cmdFleet(ts *testscript.TestScript, args []string) error {
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	opts := fleetOptions{
		size:        o.number("size", 5),
		dcs:         strings.Split(o.text("dcs", "busan-a,busan-b,ulsan-c"), ","),
		service:     "storefront",
		shards:      o.number("shards", 32),
		slots:       o.number("slots", 9),
		checksFence: o.text("fence", "true") == "true",
		serviceTime: o.duration("service-time", 2*time.Millisecond),
		backendArgs: strings.Fields(strings.ReplaceAll(o["backend"], ",", " ")),
		respawn:     o["respawn"] == "true",
	}
	fleetSlots <- struct{}{}
	if s.fleet, err = newFleet(s.dir, opts); err != nil {
		<-fleetSlots
		return err
	}
	if err := s.fleet.start(); err != nil {
		return err
	}
	rate := float64(o.number("rate", 5000))
	teams := map[string]teamOptions{
		"dealer":  {rate: rate, burst: float64(o.number("burst", int(rate)))},
		"counter": {rate: 50, burst: 50},
	}
	if err := s.fleet.configure(teams); err != nil {
		return err
	}
	return eventually(startTimeout, s.allServed)
}

// eventually polls condition until it returns no error. After timeout it returns
// the last error.
func eventually(timeout time.Duration, condition func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %s: %w", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}

// allServed returns an error unless every shard has an owner and every running
// daemon serves a request.
func (s *scenario) allServed() error { return s.allServedFor("dealer") }

// allServedFor is allServed with probe requests of the given team.
func (s *scenario) allServedFor(team string) error {
	f := s.fleet
	held := map[uint32]int{}
	for _, m := range f.members {
		if m.daemon.running() == nil {
			continue
		}
		st, err := f.status(m)
		if err != nil {
			return err
		}
		for _, h := range st.Held {
			if h.Service == f.service && int(h.Shard) < f.shards { // higher numbers are split shards
				held[h.Shard]++
			}
		}
	}
	if len(held) != f.shards {
		return fmt.Errorf("%d of %d shards have an owner", len(held), f.shards)
	}
	for _, m := range f.members {
		if m.daemon.running() == nil {
			continue
		}
		if r := f.send(http.MethodGet, m.daemon.name, team, "probe", "", time.Second); !r.ok() {
			return fmt.Errorf("entry %s: status %d, outcome %q, %v", m.daemon.name, r.status, r.outcome, r.err)
		}
	}
	return nil
}

func (s *scenario) forEachProcess(names []string, do func(*process) error) error {
	for _, name := range names {
		p, err := s.fleet.process(name)
		if err != nil {
			return err
		}
		if err := do(p); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) cmdCrash(_ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *process) error { p.kill(); return nil })
}

func (s *scenario) cmdStart(_ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *process) error { return p.start(s.dir) })
}

func (s *scenario) cmdFreeze(_ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *process) error { return p.signal(syscall.SIGSTOP) })
}

func (s *scenario) cmdThaw(_ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *process) error { return p.signal(syscall.SIGCONT) })
}

// cmdTerminate: terminate TIMEOUT NAME...
func (s *scenario) cmdTerminate(_ *testscript.TestScript, args []string) error {
	timeout, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return s.forEachProcess(args[1:], func(p *process) error { return p.terminate(timeout) })
}

func (s *scenario) setPaths(args []string, state pathState) error {
	if len(args) != 2 {
		return fmt.Errorf("expected two names")
	}
	from, err := s.fleet.hosts(args[0])
	if err != nil {
		return err
	}
	to, err := s.fleet.hosts(args[1])
	if err != nil {
		return err
	}
	for _, a := range from {
		for _, b := range to {
			if a != b {
				s.fleet.net.set(a, b, state)
			}
		}
	}
	return nil
}

func (s *scenario) cmdCut(_ *testscript.TestScript, args []string) error {
	return s.setPaths(args, pathCut)
}

func (s *scenario) cmdHeal(_ *testscript.TestScript, args []string) error {
	return s.setPaths(args, pathOpen)
}

func (s *scenario) cmdMute(_ *testscript.TestScript, args []string) error {
	from, err := s.fleet.hosts(args[0])
	if err != nil {
		return err
	}
	to, err := s.fleet.hosts(args[1])
	if err != nil {
		return err
	}
	for _, a := range from {
		for _, b := range to {
			s.fleet.net.blackhole(a, b)
		}
	}
	return nil
}

// cmdPlatform: platform down | up | slow MS | lose N sets the fault of the
// platform's log. Each call replaces the previous fault.
func (s *scenario) cmdPlatform(_ *testscript.TestScript, args []string) error {
	faults := map[string]any{}
	switch args[0] {
	case "restore": // platform restore MS: comes back without the records of the last MS milliseconds
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return s.fleet.sendJSON(http.MethodPost, "http://"+s.fleet.logAddr+"/admin/restore", map[string]any{"lose_ms": n})
	case "up":
	case "down":
		faults["down"] = true
	case "slow", "lose":
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		faults[map[string]string{"slow": "delay_ms", "lose": "lose_answer"}[args[0]]] = n
	default:
		return fmt.Errorf("unknown state %q, expected up, down, slow, lose or restore", args[0])
	}
	return s.fleet.sendJSON(http.MethodPut, "http://"+s.fleet.logAddr+"/admin/faults", faults)
}

// cmdBackend: backend NAME FIELD=VALUE... sets the faults of a backend server.
func (s *scenario) cmdBackend(_ *testscript.TestScript, args []string) error {
	m, err := s.fleet.member(args[0])
	if err != nil {
		return err
	}
	o, err := parseOptions(args[1:])
	if err != nil {
		return err
	}
	faults := map[string]any{}
	for name, value := range o {
		faults[name] = value
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			faults[name] = n
		}
		if b, err := strconv.ParseBool(value); err == nil {
			faults[name] = b
		}
	}
	s.faultSet[args[0]] = time.Now()
	return s.fleet.sendJSON(http.MethodPut, "http://"+s.fleet.addr(m.index, backendPort)+"/emulate/faults", faults)
}

// sendJSON sends a JSON body to an emulated component. Any status but 2xx is an
// error.
func (f *fleet) sendJSON(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Close = true // a backend server may write its answer twice
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: expected status 2xx, got %d", url, resp.StatusCode)
	}
	return nil
}

// cmdPatch: patch BASE JSON patches the configuration. BASE "+" is the version of
// the last successful patch.
func (s *scenario) cmdPatch(ts *testscript.TestScript, args []string) error {
	base := s.fleet.version
	if args[0] != "+" {
		n, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return err
		}
		base = n
	}
	out, err := s.fleet.patch(base, args[1])
	ts.Logf("%s", out)
	if err != nil {
		return fmt.Errorf("patch: %w: %s", err, out)
	}
	s.fleet.version = base + 1
	return nil
}

// cmdWatch: watch start keys=24 [entries=d1,d2] [team=dealer] [period=50ms]
// [timeout=4s] | watch avoid d1... | watch use d1... | watch stop. By default the
// workload uses the entries of all daemons.
func (s *scenario) cmdWatch(ts *testscript.TestScript, args []string) error {
	switch args[0] {
	case "start":
		o, err := parseOptions(args[1:])
		if err != nil {
			return err
		}
		s.workload = s.fleet.startWorkload(o.text("team", "dealer"), o.number("keys", 24), strings.Split(o.text("entries", s.fleet.entryNames()), ","),
			o.duration("period", 50*time.Millisecond), o.duration("timeout", 4*time.Second))
		return nil
	case "avoid":
		return s.workload.avoid(args[1:])
	case "use":
		s.workload.use(args[1:])
		return nil
	case "stop":
		s.samples = s.workload.stop()
		s.logWorkload(ts)
		return nil
	default:
		return fmt.Errorf("unknown argument %q, expected start, avoid, use or stop", args[0])
	}
}

// entryNames returns the names of all daemons as a comma-separated list.
func (f *fleet) entryNames() string {
	names := make([]string, 0, len(f.members))
	for _, m := range f.members {
		names = append(names, m.daemon.name)
	}
	return strings.Join(names, ",")
}

func (s *scenario) logWorkload(ts *testscript.TestScript) {
	counts := map[string]int{}
	for _, r := range s.samples {
		if r.err != nil {
			counts["error"]++
		} else {
			counts[r.outcome]++
		}
	}
	worst := longestOutage(s.samples, s.workload.period)
	ts.Logf("%d requests: %v; longest outage %s of %s", len(s.samples), counts, worst.duration, worst.key)
}

// cmdRequest: request ENTRY METHOD KEY [team=T] [id=ID] [timeout=D]
// [caller-key=K] [crash=true] sends a request and sets the variables status,
// outcome and ran for expect.
func (s *scenario) cmdRequest(ts *testscript.TestScript, args []string) error {
	r, err := s.request(args)
	if err != nil {
		return err
	}
	if r.err != nil {
		return r.err
	}
	s.vars["status"] = strconv.Itoa(r.status)
	s.vars["outcome"] = r.outcome
	s.vars["ran"] = r.ran
	ts.Logf("%s: status %d, outcome %s, ran %s", args[0], r.status, r.outcome, r.ran)
	return nil
}

func (s *scenario) request(args []string) (sample, error) {
	o, err := parseOptions(args[3:])
	if err != nil {
		return sample{}, err
	}
	team := o.text("team", "dealer")
	if key, ok := o["caller-key"]; ok {
		team = "caller " + key
		s.fleet.keys[team] = key
	}
	header := map[string]string{}
	if o["crash"] == "true" {
		header["X-Emulate-Crash"] = "1"
	}
	return s.fleet.sendWith(args[1], args[0], team, args[2], o["id"], o.duration("timeout", 2*time.Second), header), nil
}

// cmdRepeat: repeat N PERIOD ENTRY METHOD KEY [...] sends a request N times, one
// per period.
func (s *scenario) cmdRepeat(_ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	period, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	s.repeats = nil
	for range n {
		next := time.Now().Add(period)
		r, err := s.request(args[2:])
		if err != nil {
			return err
		}
		s.repeats = append(s.repeats, r)
		time.Sleep(time.Until(next))
	}
	return nil
}

// cmdNewID: newid NAME stores a new time-ordered request id.
func (s *scenario) cmdNewID(_ *testscript.TestScript, args []string) error {
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	s.vars[args[0]] = id.String()
	return nil
}

// cmdOwner: owner KEY NAME looks up the owner of a key and stores its daemon in
// variable NAME, its backend server in NAME_backend and its data centre in NAME_dc.
func (s *scenario) cmdOwner(_ *testscript.TestScript, args []string) error {
	r := s.fleet.send(http.MethodGet, s.fleet.members[0].daemon.name, "dealer", args[0], "", 2*time.Second)
	if !r.ok() {
		return fmt.Errorf("status %d, outcome %s, %v", r.status, r.outcome, r.err)
	}
	name, _, _ := strings.Cut(r.body, " ")
	m, err := s.fleet.member(name)
	if err != nil {
		return err
	}
	s.vars[args[1]] = m.daemon.name
	s.vars[args[1]+"_backend"] = m.backend.name
	s.vars[args[1]+"_dc"] = m.dc
	return nil
}

// cmdPause: pause D waits for the duration D, so that a fault or the load lasts that
// long. Use eventually to wait for an event.
func (s *scenario) cmdPause(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}
