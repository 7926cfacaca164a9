package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["filled-answer"] = filledAnswer }

const (
	// missingBytes is how much of an answer its worker leaves out.
	missingBytes = 2
	// pieceDelay is the time between the pieces that a faulty worker writes.
	pieceDelay = 30 * time.Millisecond
	lookups    = 100
)

// filledAnswer sends lookups. Each worker breaks one of its answers off, and writes it a second time on the same
// connection, in pieces. It checks MIXED.
func filledAnswer(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, 300*time.Second, 3, 3, config(7, []map[string]any{
		route("/lookup/", "storefront", "safe", 2), route("/sync/", "inventory", "safe", 4),
	}))
	if err != nil {
		return failed, err
	}
	running = append(running, f)
	for _, n := range f.nodes {
		var done atomic.Bool
		n.worker.garble = func(rw http.ResponseWriter, r *http.Request, body string) bool {
			if !trouble || !strings.HasPrefix(r.URL.Path, "/lookup/51/") || done.Swap(true) {
				return false
			}
			n.worker.breakOffAndRepeat(rw, r, body)
			return true
		}
	}
	if err := f.start(); err != nil {
		return failed, err
	}
	if err := f.awaitService(25 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(stableWindowS + time.Second)
	wrong := 0
	for range lookups {
		a := f.send(f.nodes[rand.IntN(len(f.nodes))], "GET", "/lookup/51/x", rand.IntN(keySpace), 2*time.Second)
		runs := rec.runsOf(a.id)
		if a.status != http.StatusOK || a.sealedBy == "" || len(runs) == 0 {
			continue
		}
		if whole := wholeBody(runs[len(runs)-1].worker, a.id, "GET", "/lookup/51/x", nil); a.body != whole {
			wrong++
			rec.line("the requester of %s got 200 with the worker's seal and the body %q; the worker's is %q", a.id, a.body, whole)
		}
	}
	rec.line("%d of %d lookups got a body that is not the worker's", wrong, lookups)
	if wrong > 0 {
		rec.line("MIXED is broken")
		return broken, nil
	}
	return held, nil
}

// breakOffAndRepeat answers a request without the last bytes of the body, and then writes the answer once
// more and closes the connection.
func (w *worker) breakOffAndRepeat(rw http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get("Sesamemoor-Request-Id")
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nSesamemoor-Request-Id: %s\r\nSesamemoor-Server-Seal: %s\r\n\r\n%s",
		len(body), id, rw.Header().Get("Sesamemoor-Server-Seal"), body)
	w.rec.line("%s leaves out the last %d bytes of its answer to %s, and writes the answer again", w.id, missingBytes, id)
	for _, piece := range []string{answer[:len(answer)-missingBytes], answer[:missingBytes], answer[missingBytes:]} {
		if _, err := conn.Write([]byte(piece)); err != nil {
			return
		}
		time.Sleep(pieceDelay)
	}
}
