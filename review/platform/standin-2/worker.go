package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const keySpace = 65536

// worker is a stand-in of an application worker. It runs a request for as many milliseconds as
// the first element of its path behind the route's prefix says, and drops it if the connection closes.
type worker struct {
	id, service, zone, addr, control string
	slots                            int
	sharded                          bool
	born                             int64
	rec                              *recorder

	mu       sync.Mutex
	changed  *sync.Cond
	sequence int
	keys     [keySpace]hold
	running  int
	busy     map[int]int // runs by key
	srv      *http.Server
	stop     context.CancelFunc
	onRun    func(r *http.Request) (crash bool) // nil unless a case needs it
	boots    int
	replace  func(*worker) // makes another boot the worker of its machine
	// hijackRelease handles a release in another way, and reports whether it did; nil unless a case needs it.
	// garble answers a request in another way, and reports whether it did; nil unless a case needs it.
	garble        func(rw http.ResponseWriter, r *http.Request, body string) bool
	hijackRelease func(rw http.ResponseWriter, r *http.Request, o order) bool
}

type hold struct {
	fence uint64
	until time.Time
}

func newWorker(id, service, zone string, slots int, sharded bool, rec *recorder) *worker {
	w := &worker{id: id, service: service, zone: zone, slots: slots, sharded: sharded, born: time.Now().UnixMilli(), rec: rec, busy: map[int]int{}}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// start serves requests at addr and sends heartbeats to control until the returned function is called.
func (w *worker) start(addr, control string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.addr, w.control = addr, control
	handler := func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/sesamemoor/grant":
			w.grant(rw, r)
		case "/sesamemoor/release":
			w.release(rw, r)
		default:
			w.serve(rw, r)
		}
	}
	w.srv = &http.Server{Handler: http.HandlerFunc(handler), IdleTimeout: 10 * time.Second}
	go func() { _ = w.srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.beat(ctx)
	return nil
}

// crash ends the process that the worker stands for: all connections break off, nothing is sent, and
// another boot with a new id is back at the same address after a time.
func (w *worker) crash(down time.Duration) {
	w.rec.line("worker %s crashes", w.id)
	w.end()
	go func() {
		time.Sleep(down)
		next := newWorker(fmt.Sprintf("%s-%d", strings.SplitN(w.id, "-b", 2)[0]+"-b", w.boots+1), w.service, w.zone, w.slots, w.sharded, w.rec)
		next.boots, next.onRun, next.replace = w.boots+1, w.onRun, w.replace
		w.replace(next)
		if err := next.start(w.addr, w.control); err != nil {
			w.rec.line("worker %s did not start: %v", next.id, err)
		}
	}()
}

func (w *worker) end() {
	w.stop()
	_ = w.srv.Close()
}

func (w *worker) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.sequence++
		body, _ := json.Marshal(w.heartbeat())
		resp, err := client.Post("http://"+w.control+"/sesamemoor/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(870 * time.Millisecond):
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat() map[string]any {
	return map[string]any{
		"address": w.addr, "born": w.born,
		"information": map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status":      map[string]any{"state": "ready", "sequence": w.sequence, "cold_remaining_s": 0},
	}
}

type order struct {
	From, To int
	Fence    uint64
	HoldS    float64 `json:"hold_s"`
}

func (w *worker) grant(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.From > o.To || o.To >= keySpace || o.HoldS <= 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if w.keys[k].fence > o.Fence {
			rw.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := arrived.Add(time.Duration(o.HoldS * float64(time.Second)))
	for k := o.From; k <= o.To; k++ {
		w.keys[k] = hold{o.Fence, until}
	}
	writeJSON(rw, struct{}{})
}

func (w *worker) release(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.From > o.To || o.To >= keySpace {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.hijackRelease != nil && w.hijackRelease(rw, r, o) {
		return
	}
	rw.Header().Set("Sesamemoor-Handover", w.drop(o))
	writeJSON(rw, struct{}{})
}

func (w *worker) holding() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, now := 0, time.Now()
	for k := range w.keys {
		if w.keys[k].until.After(now) {
			n++
		}
	}
	return n
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Sesamemoor-Request-Id")
	rw.Header().Set("Sesamemoor-Request-Id", id)
	reject := func(status int) {
		rw.Header().Set("Sesamemoor-Not-Executed", "1")
		rw.WriteHeader(status)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("Sesamemoor-Target-Instance"); target != "" && target != w.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	key := -1
	w.mu.Lock()
	if w.sharded {
		n, err := strconv.Atoi(r.Header.Get("Sesamemoor-Shard-Key"))
		if err != nil || n < 0 || n >= keySpace || !w.keys[n].until.After(time.Now()) {
			w.mu.Unlock()
			reject(http.StatusMisdirectedRequest)
			return
		}
		key = n
	}
	if w.running >= w.slots {
		w.mu.Unlock()
		reject(http.StatusServiceUnavailable)
		return
	}
	w.running++
	if key >= 0 {
		w.busy[key]++
	}
	w.mu.Unlock()
	w.rec.run(w.id, w.service, r, body)
	defer func() {
		w.mu.Lock()
		w.running--
		if key >= 0 {
			w.busy[key]--
		}
		w.changed.Broadcast()
		w.mu.Unlock()
	}()
	if w.onRun != nil && w.onRun(r) {
		w.crash(crashDown)
		return
	}
	ms := 50
	if parts := strings.Split(r.URL.Path, "/"); len(parts) > 2 {
		if n, err := strconv.Atoi(parts[2]); err == nil {
			ms = n
		}
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		w.rec.line("worker %s dropped %s, its connection closed", w.id, id)
		return
	}
	rw.Header().Set("Sesamemoor-Server-Seal", w.id+"."+id)
	rw.Header().Set("Sesamemoor-Server-Load", fmt.Sprintf("%d,0,%d,100", w.running, w.slots))
	answer := wholeBody(w.id, id, r.Method, r.RequestURI, body)
	if w.garble == nil || !w.garble(rw, r, answer) {
		_, _ = io.WriteString(rw, answer)
	}
}

// wholeBody returns the body of a worker's answer.
func wholeBody(worker, id, method, uri string, body []byte) string {
	return fmt.Sprintf("%s %s %s %s %08x", worker, id, method, uri, crc32.ChecksumIEEE(body))
}
