package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["left-worker"] = leftWorker }

const (
	// drainS is drain_s of the site.
	drainS = 2 * time.Second
	// underway is the longest time that a request takes from its requester to a worker.
	underway = 500 * time.Millisecond
	// servesOn is the time for which a worker serves after it has left.
	servesOn = 12 * time.Second
	// pingDelay is how late a heartbeat arrives.
	pingDelay = 3 * time.Second
)

// leftWorker has a worker leave that never reports draining. Its daemon is killed right after it has
// acknowledged that, and later gets a heartbeat that the worker had sent before. It checks DRAIN.
func leftWorker(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, 300*time.Second, 3, 3, config(7, []map[string]any{
		route("/lookup/", "storefront", "safe", 2), route("/order/", "inventory", "unsafe", 2.5),
	}))
	if err != nil {
		return failed, err
	}
	running = append(running, f)
	if err := f.start(); err != nil {
		return failed, err
	}
	if err := f.awaitService(25 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(stableWindowS + time.Second) // all machines are in touch
	n := f.nodes[len(f.nodes)-1]
	w := n.worker
	ctx, cancel := context.WithTimeout(context.Background(), servesOn+2*time.Second)
	defer cancel()
	answers := make(chan []answer, 1)
	go func() { answers <- f.loadPath(ctx, "POST", "/order/300/x", 40, 2500*time.Millisecond) }()
	time.Sleep(time.Second)
	w.stop() // it sends no more heartbeats
	time.Sleep(50 * time.Millisecond)
	w.sequence++
	late, err := json.Marshal(w.heartbeat())
	if err != nil {
		return failed, err
	}
	if status := post(w.control, "/sesamemoor/instances/"+w.id+"/leave", []byte(`{}`)); status != http.StatusOK {
		rec.line("the daemon answered %d to the leave of %s", status, w.id)
		return failed, nil
	}
	left := time.Now()
	rec.line("%s has left, and its daemon has acknowledged it", w.id)
	from := left.Add(drainS)
	if trouble {
		_ = n.cmd.Process.Kill()
		<-n.done
		rec.line("the daemon of %s is killed, and started again", n.name)
		time.Sleep(restartDelay)
		if err := f.startDaemon(n); err != nil {
			return failed, err
		}
		from = time.Now().Add(stableWindowS) // from then on that machine is in touch
		time.Sleep(time.Until(left.Add(pingDelay)))
		status := post(w.control, "/sesamemoor/instances/"+w.id+"/heartbeat", late)
		rec.line("the heartbeat of %s from before it left arrives, and is answered %d", w.id, status)
	}
	time.Sleep(time.Until(left.Add(servesOn)))
	rec.line("%s ends", w.id)
	w.end()
	reached, lost := 0, 0
	for _, a := range <-answers {
		for _, run := range rec.runsOf(a.id) {
			if run.worker != w.id || !run.at.After(from.Add(underway)) {
				continue
			}
			reached++
			if a.status != http.StatusOK {
				lost++
				rec.line("order %s ran at %s and was answered %d", a.id, w.id, a.status)
			}
		}
	}
	rec.line("%d orders reached %s later than %v after it had left, from machines in touch; %d of them were lost when it ended", reached, w.id, drainS, lost)
	if reached > 0 {
		rec.line("DRAIN is broken")
		return broken, nil
	}
	return held, nil
}

// post sends a call of a worker to a daemon and returns the status of the answer, or 0.
func post(addr, path string, body []byte) int {
	resp, err := http.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
