package scenario

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/sesamemoor/sesamemoor/daemon/edge/edgetest"
)

// sample is one request and its answer.
type sample struct {
	key     string
	id      string
	order   bool // not idempotent
	entry   string
	start   time.Time
	end     time.Time
	status  int
	outcome string
	ran     string
	body    string
	err     error

	readAndClosed bool // the daemon had read the request and closed the connection
}

// ok reports whether the backend server answered the request with status 200.
func (s sample) ok() bool { return s.err == nil && s.outcome == "ok" && s.status == http.StatusOK }

// workload sends lookups (GET) and orders (POST) for a set of keys until it is
// stopped.
type workload struct {
	fleet   *fleet
	team    string
	timeout time.Duration
	period  time.Duration
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	entries []string
	samples []sample
	stopped time.Time // when stop was called
}

// startWorkload starts a workload for n keys through the entries of the named
// daemons, in turn. A key's next lookup follows one period after the previous answer,
// its next order four periods after, so there is about one order per four lookups.
func (f *fleet) startWorkload(team string, n int, entries []string, period, timeout time.Duration) *workload {
	ctx, cancel := context.WithCancel(context.Background())
	w := &workload{fleet: f, team: team, timeout: timeout, period: period, cancel: cancel, entries: entries}
	for i := range n {
		key := fmt.Sprintf("key-%d", i)
		w.wg.Go(func() { w.sendLookups(ctx, key, i) })
		w.wg.Go(func() { w.sendOrders(ctx, key, i) })
	}
	return w
}

func (w *workload) entry(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i%len(w.entries)]
}

// avoid sends no new requests through the named daemons or the daemons of the named
// data centres. It returns an error if no entry remains.
func (w *workload) avoid(names []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = slices.DeleteFunc(w.entries, func(entry string) bool {
		m, err := w.fleet.member(entry)
		return err != nil || slices.Contains(names, entry) || slices.Contains(names, m.dc)
	})
	if len(w.entries) == 0 {
		return errors.New("no entries remain")
	}
	return nil
}

// use adds the named daemons to the entries again.
func (w *workload) use(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(w.entries, name) {
			w.entries = append(w.entries, name)
		}
	}
}

func (w *workload) sendLookups(ctx context.Context, key string, offset int) {
	for i := offset; ctx.Err() == nil; i++ {
		w.record(w.fleet.send(http.MethodGet, w.entry(i), w.team, key, "", w.timeout))
		pause(ctx, w.period)
	}
}

// sendOrders sends each order with its own request id. If the answer does not report
// that the order ran, it resends the order with the same id: at most three attempts.
func (w *workload) sendOrders(ctx context.Context, key string, offset int) {
	for i := offset; ctx.Err() == nil; i++ {
		id := uuid.Must(uuid.NewV7()).String()
		for range 3 {
			s := w.fleet.send(http.MethodPost, w.entry(i), w.team, key, id, w.timeout)
			w.record(s)
			if s.ran == "ran" {
				break
			}
			pause(ctx, w.period)
		}
		pause(ctx, 4*w.period)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *workload) record(s sample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples = append(w.samples, s)
}

// recorded returns the samples so far.
func (w *workload) recorded() []sample {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.samples)
}

// stop waits for the in-flight requests and returns all samples.
func (w *workload) stop() []sample {
	w.stopped = time.Now()
	w.cancel()
	w.wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.samples
}

// send sends one request through the entry of a daemon and waits for the answer. If
// id is empty, the daemon generates the request id.
func (f *fleet) send(method, entry, team, key, id string, timeout time.Duration) sample {
	return f.sendWith(method, entry, team, key, id, timeout, nil)
}

// sendWith is send with additional header fields. The client stops waiting one
// second after the caller timeout.
func (f *fleet) sendWith(method, entry, team, key, id string, timeout time.Duration, header map[string]string) sample {
	s := sample{key: key, id: id, order: method == http.MethodPost, entry: entry, start: time.Now()}
	defer func() { s.end = time.Now() }()
	m, err := f.member(entry)
	if err != nil {
		s.err = err
		return s
	}
	url := fmt.Sprintf("http://%s/%s/%s", f.addr(m.index, entryPort), f.service, key)
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		s.err = err
		return s
	}
	req.Header.Set("Authorization", "Bearer "+f.keys[team])
	req.Header.Set("X-Sesamemoor-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	var text strings.Builder
	if err := req.Write(&text); err != nil {
		s.err = err
		return s
	}
	return f.exchange(req.Host, text.String(), timeout+time.Second, s)
}

// exchange sends a request and waits for its answer.
func (f *fleet) exchange(addr, text string, timeout time.Duration, s sample) sample {
	r := f.callers.send(addr, edgetest.Request{ID: s.id, Text: text}, timeout)
	s.end = time.Now()
	if r.End != edgetest.Answered {
		s.readAndClosed = r.End == edgetest.ReadAndClosed
		s.err = fmt.Errorf("%v: %w", r.End, r.Err)
		return s
	}
	s.status = r.Status
	s.outcome = r.Header.Get("X-Sesamemoor-Outcome")
	s.ran = r.Header.Get("X-Sesamemoor-Ran")
	s.body = r.Body
	if s.id == "" {
		s.id = r.Header.Get("X-Request-Id")
	}
	return s
}

// poolResetTimeout is long enough for a reset on loopback, and short beside the period of a
// workload.
const poolResetTimeout = 20 * time.Millisecond

// callerPool holds the callers' open connections. They are used until they end.
type callerPool struct {
	mu   sync.Mutex
	free map[string][]*edgetest.KeptCaller // by address
}

// send sends a request. If the connection that was kept for it ended before the request was
// read, it is sent again, as any caller may.
func (p *callerPool) send(addr string, request edgetest.Request, timeout time.Duration) edgetest.Result {
	deadline := time.Now().Add(timeout)
	for {
		c := p.take(addr)
		c.Timeout = time.Until(deadline)
		kept := c.Connected()
		r := c.Send(request)[0]
		if c.Connected() {
			p.mu.Lock()
			p.free[addr] = append(p.free[addr], c)
			p.mu.Unlock()
		}
		if r.End != edgetest.NotRead || !kept {
			return r
		}
	}
}

func (p *callerPool) take(addr string) *edgetest.KeptCaller {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.free[addr]
	if len(list) == 0 {
		return &edgetest.KeptCaller{Addr: addr, ResetTimeout: poolResetTimeout}
	}
	p.free[addr] = list[:len(list)-1]
	return list[len(list)-1]
}

func (p *callerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.free {
		for _, c := range list {
			c.Close()
		}
	}
}

// outage is a period without a successful lookup of a key.
type outage struct {
	key      string
	duration time.Duration
	from     time.Time
}

// longestOutage returns the longest time between the ends of two successive
// successful lookups of one key, minus the lookup period.
func longestOutage(samples []sample, period time.Duration) outage {
	last := map[string]time.Time{}
	var worst outage
	for _, s := range samples {
		if s.order || !s.ok() {
			continue
		}
		previous, seen := last[s.key]
		if gap := s.end.Sub(previous) - period; seen && gap > worst.duration {
			worst = outage{key: s.key, duration: gap, from: previous}
		}
		last[s.key] = s.end
	}
	return worst
}

// longestOutageUntil is longestOutage that also counts, for each key, the time from
// its last successful lookup, or its first request if none succeeded, to end.
func longestOutageUntil(samples []sample, period time.Duration, end time.Time) outage {
	worst := longestOutage(samples, period)
	last := map[string]time.Time{}
	for _, s := range samples {
		if !s.order && s.ok() {
			last[s.key] = s.end
		} else if _, ok := last[s.key]; !ok {
			last[s.key] = s.start
		}
	}
	for key, at := range last {
		if gap := end.Sub(at) - period; gap > worst.duration {
			worst = outage{key: key, duration: gap, from: at}
		}
	}
	return worst
}
