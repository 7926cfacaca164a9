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
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu      sync.Mutex
	out     *os.File
	started time.Time
	runs    map[string][]runRecord // by request id
}

type runRecord struct {
	worker, service, uri, method string
	at                           time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	return &recorder{out: out, started: time.Now(), runs: map[string][]runRecord{}}, err
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(worker, service string, req *http.Request, body []byte) {
	id := req.Header.Get("Sesamemoor-Request-Id")
	r.line("run %s on %s of %s: %s %s, body of %d bytes", id, worker, service, req.Method, req.RequestURI, len(body))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], runRecord{worker, service, req.RequestURI, req.Method, time.Now()})
}

func (r *recorder) runsOf(id string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// node is one machine of the small deployment: a daemon and the worker beside it.
type node struct {
	name, zone, service, ip      string
	entry, ready, control, appAt string
	settings, log                string
	worker                       *worker
	cmd                          *exec.Cmd
	done                         chan struct{}
}

// fleet is a small deployment on loopback.
type fleet struct {
	dir, daemon string
	rec         *recorder
	store       *store
	nodes       []*node
	mu          sync.Mutex // of the workers of nodes
}

const (
	region = "kr-south"
	host   = "shop.example"
	apiKey = "2b9wu3fexd9dnn2ctnfz"
)

// config is the operator's configuration. Both services have the fields of the pages' example.
func config(version int, routes []map[string]any) []byte {
	for i, r := range routes {
		r["name"], r["host"], r["allow_anonymous"] = fmt.Sprintf("r-%d", i), host, false
		r["target_latency_s"], r["max_attempts"], r["priority"] = 0.4, 2, 1
	}
	service := func(name string, sharded bool) map[string]any {
		s := map[string]any{"name": name, "health_check_path": "/health", "connection_limit": 130, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 18.0}
		if sharded {
			s["sharded"], s["warm_s"], s["grants"] = true, 2.0, "call"
		}
		return s
	}
	out, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes,
		"services": []any{service("storefront", true), service("inventory", false)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants":  []any{map[string]any{"name": "huka270", "api_keys": []string{apiKey}, "priority": 1, "rate_per_s": 0, "burst": 0}},
	})
	return out
}

func route(prefix, service, kind string, timeoutS float64) map[string]any {
	return map[string]any{"path_prefix": prefix, "service": service, "kind": kind, "timeout_s": timeoutS}
}

// newFleet prepares a deployment with the given numbers of storefront and inventory machines.
func newFleet(rec *recorder, keep time.Duration, storefront, inventory int, configuration []byte) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	daemon, err := filepath.Abs("target/sesamemoord")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, daemon: daemon, rec: rec, store: newStore(keep)}
	f.store.put("keyed.op", "config", configuration)
	block := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	storeAddr := block + ".250:8408"
	l, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, f.store.handler()) }()
	zones := []string{"busan-a", "busan-b", "ulsan-c"}
	for i := range storefront + inventory {
		n := &node{name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: fmt.Sprintf("%s.%d", block, i+1), service: "storefront"}
		if i >= storefront {
			n.service = "inventory"
		}
		n.entry, n.ready, n.control, n.appAt = n.ip+":8402", n.ip+":8406", n.ip+":8407", n.ip+":8403"
		n.settings, n.log = filepath.Join(dir, n.name+".json"), filepath.Join(dir, n.name+".log")
		if err := os.WriteFile(n.settings, n.template(storeAddr), 0o600); err != nil {
			return nil, err
		}
		n.worker = newWorker(fmt.Sprintf("i-%d", i), n.service, n.zone, 9, n.service == "storefront", rec)
		n.worker.replace = func(w *worker) {
			f.mu.Lock()
			defer f.mu.Unlock()
			n.worker = w
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// template returns the settings as platform/settings.json.tmpl is filled in for a machine of the
// deployment hanbit-belt.
func (n *node) template(store string) []byte {
	out, _ := json.MarshalIndent(map[string]any{
		"interface": "platform", "slot": n.name, "data_centre": n.zone, "region": region, "backend_service": n.service,
		"peer_addr": n.ip + ":7660", "witness_addr": n.ip + ":7660", "admin_addr": n.ip + ":7675", "metrics_addr": n.ip + ":9464",
		"entry_addr": n.entry, "ready_addr": n.ready, "announce_addr": n.control, "platform_url": "http://" + store,
		"key_hash_secret": "hanbit-platform-caller-keys",
		"lease":           map[string]any{"term_ms": 1500, "max_term_ms": 4000, "renew_ms": 400, "settle_ms": 1500},
		"limits":          map[string]any{"stale_config_ms": 3600000},
		"bounds": map[string]any{
			"drain_s": 2, "config_apply_s": 2, "retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 62, "max_hold_s": 10,
			"cold_overage": 1.5, "cold_slack": 5, "announce_interval_s": 0.87, "memory_mb": 284, "link_mbps": 1000.0,
			"range_shards": 2048, "record_ring": 512, "log_readers": 1, "log_reader_centres": 2, "log_wait_ms": 400,
			"log_placement_wait_ms": 4000, "log_stale_ms": 1100, "log_survey_ms": 300, "log_gather_ms": 80, "grace_s": 6,
		},
	}, "", " ")
	return out
}

// startDaemon starts the daemon of a machine with the command of the deploy file.
func (f *fleet) startDaemon(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.daemon, "run", n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(done)
	}()
	return nil
}

// restart stops a daemon as the platform does, SIGTERM and after the grace period SIGKILL, and
// starts it again.
func (f *fleet) restart(n *node) error {
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(6 * time.Second):
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	return f.startDaemon(n)
}

func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := n.worker.start(n.appAt, n.control); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := f.startDaemon(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
		f.mu.Lock()
		if n.worker.srv != nil {
			n.worker.end()
		}
		f.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/sesamemoor/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
