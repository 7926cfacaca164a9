package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["copied-release"] = copiedRelease }

const (
	// maxCopies bounds the answers to releases that a worker writes a second time: 3 in 100 of the
	// releases of some 680 ranges of keys are 20.
	maxCopies = 8
	// carriedOutAfter is the time after which an order that gets no answer is carried out.
	carriedOutAfter = 3 * time.Second
	// bothHold is the time for which two workers may hold the same keys.
	bothHold = 500 * time.Millisecond
)

// copiedRelease empties a zone. The worker in it writes the answers to some releases a second time, where the
// next answer is expected, and leaves the release behind that unanswered and carries it out late. It
// checks OWNER.
func copiedRelease(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, 300*time.Second, 3, 3, config(7, []map[string]any{
		route("/lookup/", "storefront", "safe", 2), route("/sync/", "inventory", "safe", 4),
	}))
	if err != nil {
		return failed, err
	}
	running = append(running, f)
	leaving := f.nodes[0]
	var armed atomic.Bool
	var copies atomic.Int32
	if trouble {
		leaving.worker.hijackRelease = func(rw http.ResponseWriter, r *http.Request, o order) bool {
			if !armed.Load() || copies.Add(1) > maxCopies {
				return false
			}
			leaving.worker.copyRelease(rw, o)
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
	workers := []*worker{f.nodes[0].worker, f.nodes[1].worker, f.nodes[2].worker}
	rec.line("%s holds %d keys; its zone is emptied", leaving.worker.id, leaving.worker.holding())
	armed.Store(true)
	f.store.put("keyed.op", "evacuate/"+leaving.zone, []byte(`{}`))
	longest, most := watchHolds(rec, workers, 10*time.Second)
	rec.line("at most %d keys were held by two workers for over %v, the longest for %v; %d answers to releases were written twice",
		most, bothHold, longest, min(copies.Load(), maxCopies))
	if longest > bothHold {
		rec.line("OWNER is broken")
		return broken, nil
	}
	return held, nil
}

// watchHolds looks each 20 ms which keys are held by two workers. It returns the longest time for which
// one was, and the number of keys that were for over bothHold.
func watchHolds(rec *recorder, workers []*worker, d time.Duration) (longest time.Duration, count int) {
	since := make([]time.Time, keySpace)
	counted := make([]bool, keySpace)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		holders := make([]uint8, keySpace)
		for _, w := range workers {
			w.mu.Lock()
			now := time.Now()
			for k := range w.keys {
				if w.keys[k].until.After(now) {
					holders[k]++
				}
			}
			w.mu.Unlock()
		}
		now := time.Now()
		for k, n := range holders {
			switch {
			case n < 2:
				since[k] = time.Time{}
			case since[k].IsZero():
				since[k] = now
			default:
				held := now.Sub(since[k])
				longest = max(longest, held)
				if held > bothHold && !counted[k] {
					counted[k] = true
					if count++; count == 1 {
						rec.line("key %d is held by two workers for %v", k, held)
					}
				}
			}
		}
	}
	return longest, count
}

// copyRelease carries a release out and answers it. It writes the same answer again when the next order
// comes on the connection, and leaves that one without an answer until carriedOutAfter.
func (w *worker) copyRelease(rw http.ResponseWriter, o order) {
	conn, buf, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	handover := w.drop(o)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 3\r\nSesamemoor-Handover: %s\r\n\r\n{}\n", handover)
	if _, err := conn.Write([]byte(answer)); err != nil {
		conn.Close()
		return
	}
	go w.serveOrders(conn, buf.Reader, answer)
}

func (w *worker) serveOrders(conn net.Conn, in *bufio.Reader, answer string) {
	defer conn.Close()
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		return
	}
	w.rec.line("%s writes the answer to a release again; the release of %d to %d is left unanswered and carried out late", w.id, o.From, o.To)
	if _, err := conn.Write([]byte(answer)); err != nil {
		return
	}
	time.Sleep(carriedOutAfter)
	w.drop(o)
	w.rec.line("%s carries the release of %d to %d out", w.id, o.From, o.To)
}

// drop carries a release out and returns the handover of the keys, once the work on them has ended.
func (w *worker) drop(o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		w.keys[k].until = time.Time{}
	}
	for {
		n := 0
		for k := o.From; k <= o.To; k++ {
			n += w.busy[k]
		}
		if n == 0 {
			return fmt.Sprintf("%x", time.Now().UnixNano())
		}
		w.changed.Wait()
	}
}
