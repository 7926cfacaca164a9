package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keySpace = 65536

// worker is a stand-in of one boot of a backend server. It speaks HTTP/1.1 on raw
// connections, one request at a time on each.
type worker struct {
	name        string // of the machine, for the record
	id          string
	service     string
	zone        string
	addr        string
	slots       int
	sharded     bool
	serviceTime time.Duration
	born        int64
	rec         *record
	fences      *fences

	// reply, if set, may answer a request that would run in another way. It returns
	// false to run it as usual.
	reply func(w *worker, c net.Conn, req *http.Request, body []byte) bool

	port     *port
	mu       sync.Mutex
	up       bool
	sequence uint64
	holds    [keySpace]keyHold
	running  map[uint32]int
	busy     int
	conns    map[net.Conn]bool
	runs     map[string]int
	stop     chan struct{}
}

// fences checks that a boot takes a key only under a generation above all with which other
// boots had it.
type fences struct {
	mu      sync.Mutex
	highest [keySpace]uint64
	by      [keySpace]*worker
	taken   int // keys that were taken under too low a generation
}

func (f *fences) take(w *worker, key uint32, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if other := f.by[key]; other != nil && other != w && fence <= f.highest[key] {
		f.taken++
		if f.taken <= maxListed {
			w.rec.breach("OWNER %s boot %s takes key %d under generation %d; %s boot %s had it under %d", w.name, w.id, key, fence, other.name, other.id, f.highest[key])
		}
	}
	if fence >= f.highest[key] {
		f.highest[key], f.by[key] = fence, w
	}
}

// maxListed bounds the breaches of one kind that are listed.
const maxListed = 20

type keyHold struct {
	fence   uint64
	expires time.Time
}

// port is the listening socket of a server. A supervisor may keep it open while the server
// starts again, as with socket activation: connections then wait for the next boot.
type port struct {
	listener net.Listener
	mu       sync.Mutex
	boot     *worker
	waiting  []net.Conn // accepted while there was no boot
}

func (p *port) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.boot == nil {
			p.waiting = append(p.waiting, c)
		} else {
			p.boot.take(c)
		}
		p.mu.Unlock()
	}
}

func (p *port) set(w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boot = w
	if w != nil {
		for _, c := range p.waiting {
			w.take(c)
		}
		p.waiting = nil
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// start begins the boot. It listens on a new port unless one is set.
func (w *worker) start() error {
	if w.port == nil {
		l, err := net.Listen("tcp", w.addr)
		if err != nil {
			return err
		}
		w.port = &port{listener: l}
		go w.port.accept()
	}
	w.up = true
	w.running, w.conns, w.runs, w.stop = map[uint32]int{}, map[net.Conn]bool{}, map[string]int{}, make(chan struct{})
	w.born = time.Now().UnixMilli()
	w.rec.add("worker %s boot %s born %d listens on %s", w.name, w.id, w.born, w.addr)
	w.port.set(w)
	return nil
}

func (w *worker) take(c net.Conn) {
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	go w.serve(c)
}

// crash ends this boot at once: it holds and answers nothing more, and its connections are
// reset.
func (w *worker) crash() {
	_ = w.port.listener.Close()
	w.finish()
	w.resetConns()
	w.rec.add("worker %s boot %s crashed", w.name, w.id)
}

// crashSupervised is crash, except that the listening socket stays open.
func (w *worker) crashSupervised() {
	w.port.set(nil)
	w.finish()
	w.resetConns()
	w.rec.add("worker %s boot %s crashed; its supervisor keeps the listening socket", w.name, w.id)
}

func (w *worker) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	close(w.stop)
}

func (w *worker) resetConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		reset(c)
	}
}

func (w *worker) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// held returns the fence under which a key is held now.
func (w *worker) held(now time.Time, key uint32) (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.holds[key]
	return h.fence, w.up && now.Before(h.expires)
}

// heldRanges returns the number of ranges of 32 keys that the boot holds for at least a
// given time.
func (w *worker) heldRanges(least time.Duration) int {
	n, then := 0, time.Now().Add(least)
	for key := uint32(0); key < keySpace; key += 32 {
		if _, ok := w.held(then, key); ok {
			n++
		}
	}
	return n
}

// renewed is the time left of a hold that was just renewed.
const renewed = 1200 * time.Millisecond

// awaitRenewed waits until most of the boot's holds were just renewed. It reports false
// after limit.
func (w *worker) awaitRenewed(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if w.heldRanges(renewed) > w.heldRanges(0)/2 {
			return true
		}
	}
	return false
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !w.alive() {
			return
		}
		if !w.handle(c, req, body) {
			return
		}
	}
}

func respond(c net.Conn, status int, headers map[string]string, body string) bool {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range headers {
		if v != "" {
			fmt.Fprintf(&out, "%s: %s\r\n", k, v)
		}
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := c.Write(out.Bytes())
	return err == nil
}

func (w *worker) handle(c net.Conn, req *http.Request, body []byte) bool {
	switch req.URL.Path {
	case "/sesamemoor/grant":
		return w.grant(c, body)
	case "/sesamemoor/release":
		return w.release(c, body)
	}
	id := req.Header.Get("Sesamemoor-Request-Id")
	key64, err := strconv.ParseUint(req.Header.Get("Sesamemoor-Shard-Key"), 10, 16)
	key := uint32(key64)
	if target := req.Header.Get("Sesamemoor-Target-Instance"); target != "" && target != w.id || w.sharded && err != nil {
		return respond(c, 421, map[string]string{"Sesamemoor-Not-Executed": "1", "Sesamemoor-Request-Id": id}, "")
	}
	w.mu.Lock()
	if w.sharded && !time.Now().Before(w.holds[key].expires) {
		w.mu.Unlock()
		return respond(c, 421, map[string]string{"Sesamemoor-Not-Executed": "1", "Sesamemoor-Request-Id": id}, "")
	}
	if w.busy >= w.slots {
		w.mu.Unlock()
		return respond(c, 503, map[string]string{"Sesamemoor-Not-Executed": "1", "Sesamemoor-Request-Id": id}, "")
	}
	w.mu.Unlock()
	if w.reply != nil && w.reply(w, c, req, body) {
		return true
	}
	w.begin(id, key)
	time.Sleep(w.serviceTime)
	w.end(key)
	if !w.alive() {
		return false
	}
	return respond(c, 200, w.sealed(id), w.body(req, body))
}

func (w *worker) begin(id string, key uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy++
	w.running[key]++
	w.runs[id]++
	w.rec.ran(id, w.name, w.id, key)
}

func (w *worker) end(key uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	w.running[key]--
}

func (w *worker) sealed(id string) map[string]string {
	return map[string]string{"Sesamemoor-Request-Id": id, "Sesamemoor-Server-Seal": w.id + "." + id, "Content-Type": "text/plain"}
}

func (w *worker) body(req *http.Request, body []byte) string {
	return fmt.Sprintf("%s %s %s %d", w.id, req.Method, req.RequestURI, len(body))
}

type keyRange struct {
	From     uint32  `json:"from"`
	To       uint32  `json:"to"`
	Fence    uint64  `json:"fence"`
	HoldS    float64 `json:"hold_s"`
	Handover string  `json:"handover"`
}

func (w *worker) grant(c net.Conn, body []byte) bool {
	arrived := time.Now()
	var g keyRange
	if json.Unmarshal(body, &g) != nil || g.From > g.To || g.To >= keySpace || g.HoldS <= 0 {
		return respond(c, 400, nil, "")
	}
	w.mu.Lock()
	for key := g.From; key <= g.To; key++ {
		if w.holds[key].fence > g.Fence {
			w.mu.Unlock()
			return respond(c, 409, nil, "")
		}
	}
	expires := arrived.Add(time.Duration(g.HoldS * float64(time.Second)))
	for key := g.From; key <= g.To; key++ {
		if w.holds[key].fence != g.Fence {
			w.fences.take(w, key, g.Fence)
		}
		w.holds[key] = keyHold{fence: g.Fence, expires: expires}
	}
	w.mu.Unlock()
	return respond(c, 200, nil, "")
}

func (w *worker) release(c net.Conn, body []byte) bool {
	var g keyRange
	if json.Unmarshal(body, &g) != nil || g.From > g.To || g.To >= keySpace {
		return respond(c, 400, nil, "")
	}
	w.mu.Lock()
	for key := g.From; key <= g.To; key++ {
		w.holds[key].expires = time.Time{}
	}
	w.mu.Unlock()
	for {
		w.mu.Lock()
		n := 0
		for key := g.From; key <= g.To; key++ {
			n += w.running[key]
		}
		w.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	return respond(c, 200, map[string]string{"Sesamemoor-Handover": w.id + "-" + strconv.FormatUint(g.Fence, 10)}, "")
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return map[string]any{
		"address": w.addr, "born": w.born,
		"information": map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status":      map[string]any{"state": "ready", "sequence": w.sequence, "cold_remaining_s": 0},
	}
}

var heartbeatClient = &http.Client{Timeout: time.Second}

// post sends a heartbeat of an instance to a daemon and returns the status, or 0.
func post(control, id string, beat map[string]any) int {
	data, _ := json.Marshal(beat)
	resp, err := heartbeatClient.Post("http://"+control+"/sesamemoor/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// beat sends a heartbeat each interval until the boot ends.
func (w *worker) beat(control string, interval time.Duration) {
	for {
		post(control, w.id, w.heartbeat())
		select {
		case <-w.stop:
			return
		case <-time.After(interval):
		}
	}
}
