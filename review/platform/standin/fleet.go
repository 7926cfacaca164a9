package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 870 * time.Millisecond
	host         = "shop.example"
	apiKey       = "2b9wu3fexd9dnn2ctnfz"
)

const configText = `{"version":"00000001","routes":[
{"name":"read","host":"shop.example","path_prefix":"/read/","kind":"safe","timeout_s":2,"target_latency_s":0.3,"service":"storefront","max_attempts":2,"priority":1},
{"name":"order","host":"shop.example","path_prefix":"/order/","kind":"unsafe","timeout_s":2.5,"target_latency_s":0.4,"service":"storefront","max_attempts":2,"priority":0},
{"name":"sync","host":"shop.example","path_prefix":"/sync/","kind":"safe","timeout_s":4,"target_latency_s":0.6,"service":"inventory","max_attempts":2,"priority":2}],
"services":[{"name":"storefront","sharded":true,"connection_limit":130,"cold_start_s":3,"cold_per_s":40},{"name":"inventory","connection_limit":130,"cold_start_s":3,"cold_per_s":40}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":5,"idle_timeout_s":30},
"tenants":[{"name":"pier","api_keys":["2b9wu3fexd9dnn2ctnfz"],"rate_per_s":0,"burst":0}]}`

// record is the list of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	runs    map[string]int
	broken  bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{started: time.Now(), file: f, runs: map[string]int{}}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) ran(id, worker, boot string, key uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.addLocked("run %s at %s boot %s key %d (run %d of this request)", id, worker, boot, key, r.runs[id])
}

func (r *record) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// breach notes that the rule was broken.
func (r *record) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = true
	r.addLocked("BROKEN: "+format, args...)
	fmt.Printf("BROKEN: "+format+"\n", args...)
}

// machine is a daemon with its worker.
type machine struct {
	name, zone, service string
	ip                  string
	entry, control      string
	ready               string
	settings, log       string
	worker              *worker
	cmd                 *exec.Cmd
}

// fleet is a small deployment on loopback.
type fleet struct {
	rec      *record
	dir      string
	store    *store
	storeURL string
	machines []*machine
	workers  sync.Mutex // guards boots
	boots    []*worker
	fences   fences
	logs     []*os.File
}

// freePort returns an address with a free port below those that the system gives to
// outgoing connections, which the daemons open from the same addresses.
func freePort(ip string) (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, 10000+rand.IntN(20000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port at %s", ip)
}

// settingsOf fills in the fields of the deploy file's template for a small site.
func settingsOf(m *machine, storeAddr string, ports []string) map[string]any {
	return map[string]any{
		"interface": "platform", "slot": m.name, "data_centre": m.zone, "region": "kr-south", "backend_service": m.service,
		"peer_addr": ports[0], "witness_addr": ports[0], "admin_addr": ports[1], "metrics_addr": ports[2],
		"entry_addr": m.entry, "ready_addr": m.ready, "announce_addr": m.control,
		"platform_url": "http://" + storeAddr, "key_hash_secret": "hanbit-platform-caller-keys",
		"lease":  map[string]any{"term_ms": 1500, "max_term_ms": 4000, "renew_ms": 400, "settle_ms": 1500},
		"limits": map[string]any{"stale_config_ms": 3600000},
		"bounds": map[string]any{
			"drain_s": 2, "retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 62, "max_hold_s": 10,
			"cold_overage": 1.5, "cold_slack": 5, "announce_interval_s": 0.87, "memory_mb": 284,
			"range_shards": 2048, "record_ring": 512, "log_readers": 1, "log_reader_centres": 2, "log_wait_ms": 400,
			"log_placement_wait_ms": 4000, "log_stale_ms": 1100, "log_survey_ms": 300, "log_gather_ms": 80, "grace_s": 6,
		},
	}
}

// newFleet starts the store, the workers and the daemons.
func newFleet(rec *record, dir string, storefront, inventory int, serviceTime time.Duration) (*fleet, error) {
	f := &fleet{rec: rec, dir: dir, store: newStore()}
	current = f
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	go func() { _ = http.Serve(l, f.store.handler()) }()
	f.storeURL = l.Addr().String()
	f.store.put("keyed.op", "config", []byte(configText))
	zones := []string{"busan-a", "busan-b", "ulsan-c"}
	net2, net3 := 10+rand.IntN(200), 1+rand.IntN(250)
	for i := range storefront + inventory {
		m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], service: "storefront", ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, i+1)}
		if i >= storefront {
			m.service = "inventory"
		}
		var ports []string
		for range 7 {
			p, err := freePort(m.ip)
			if err != nil {
				return f, err
			}
			ports = append(ports, p)
		}
		m.entry, m.ready, m.control = ports[3], ports[4], ports[5]
		data, _ := json.MarshalIndent(settingsOf(m, f.storeURL, ports), "", " ")
		m.settings, m.log = filepath.Join(dir, m.name+".json"), filepath.Join(dir, m.name+".log")
		if err := os.WriteFile(m.settings, data, 0o600); err != nil {
			return f, err
		}
		m.worker = f.newBoot(m, ports[6], serviceTime)
		if err := m.worker.start(); err != nil {
			return f, err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := f.startDaemon(m); err != nil {
			return f, err
		}
		go m.worker.beat(m.control, beatInterval)
	}
	return f, nil
}

var bootCount int

// newBoot returns a boot of a machine's worker that has not started.
func (f *fleet) newBoot(m *machine, addr string, serviceTime time.Duration) *worker {
	f.workers.Lock()
	defer f.workers.Unlock()
	bootCount++
	w := &worker{
		name: m.name, id: fmt.Sprintf("i-%08x", 0x7f3a9000+bootCount), service: m.service, zone: m.zone, addr: addr,
		slots: 9, sharded: m.service == "storefront", serviceTime: serviceTime, rec: f.rec, fences: &f.fences,
	}
	f.boots = append(f.boots, w)
	return w
}

func (f *fleet) startDaemon(m *machine) error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	f.logs = append(f.logs, out)
	bin := os.Getenv("SESAMEMOORD")
	m.cmd = exec.Command(bin, "run", m.settings)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	f.rec.add("daemon %s started, pid %d", m.name, m.cmd.Process.Pid)
	return nil
}

func (f *fleet) killDaemon(m *machine) {
	_ = m.cmd.Process.Kill()
	_, _ = m.cmd.Process.Wait()
	f.rec.add("daemon %s killed", m.name)
}

// stop ends all daemons and workers.
func (f *fleet) stop() {
	if f == nil {
		return
	}
	for _, m := range f.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			_, _ = m.cmd.Process.Wait()
		}
	}
	for _, l := range f.logs {
		_ = l.Close()
	}
}

// answer is what a requester got; status is 0 without an answer.
type answer struct {
	status int
	sealed bool
	body   string
	err    error
}

// send sends a request on a new connection, as requesters do.
func (f *fleet) send(m *machine, method, path, id string, key int, body string, limit time.Duration) answer {
	req, _ := http.NewRequest(method, "http://"+m.entry+path, strings.NewReader(body))
	req.Host = host
	req.Close = true
	req.Header.Set("Sesamemoor-Request-Id", id)
	req.Header.Set("Sesamemoor-Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	req.Header.Set("X-Api-Key", apiKey)
	if key >= 0 {
		req.Header.Set("Sesamemoor-Shard-Key", fmt.Sprint(key))
	}
	f.rec.add("send %s %s %s to %s key %d", id, method, path, m.name, key)
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		f.rec.add("answer %s none: %v", id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			break
		}
	}
	f.rec.add("answer %s %d", id, resp.StatusCode)
	return answer{status: resp.StatusCode, sealed: resp.Header.Get("Sesamemoor-Server-Seal") != "", body: b.String()}
}

// awaitServed waits until every machine serves keys across the key space.
func (f *fleet) awaitServed(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	n := 0
	for time.Now().Before(deadline) {
		all := true
		for i := 0; i < 16 && all; i++ {
			n++
			all = f.send(f.machines[n%len(f.machines)], "GET", "/read/1", fmt.Sprintf("probe-%d", n), i*4096+n%4096, "", time.Second).status == 200
		}
		if all {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// doubleHolds watches for keys that two boots which are up hold at the same time for over
// limit. It samples one key of each of 2048 ranges.
func (f *fleet) doubleHolds(limit time.Duration, done <-chan struct{}) (longest time.Duration, ranges int) {
	since := map[uint32]time.Time{}
	counted := map[uint32]bool{}
	for {
		now := time.Now()
		f.workers.Lock()
		boots := append([]*worker(nil), f.boots...)
		f.workers.Unlock()
		for key := uint32(0); key < keySpace; key += 32 {
			var first, second *worker
			for _, w := range boots {
				if !w.sharded {
					continue
				}
				if _, ok := w.held(now, key); ok {
					if first == nil {
						first = w
					} else {
						second = w
					}
				}
			}
			if second == nil {
				delete(since, key)
				continue
			}
			start, ok := since[key]
			if !ok {
				since[key] = now
				continue
			}
			longest = max(longest, now.Sub(start))
			if now.Sub(start) > limit && !counted[key] {
				counted[key] = true
				ranges++
				if ranges <= maxListed {
					a, _ := first.held(now, key)
					b, _ := second.held(now, key)
					f.rec.breach("OWNER key %d is held by %s boot %s (generation %d) and by %s boot %s (generation %d) for %d ms", key, first.name, first.id, a, second.name, second.id, b, now.Sub(start).Milliseconds())
				}
			}
		}
		select {
		case <-done:
			return longest, ranges
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// awaitReady waits until the daemon answers the platform's readiness probe with 200.
func (m *machine) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + m.ready + "/sesamemoor/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
