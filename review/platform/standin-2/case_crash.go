package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crashing-request"] = crashingRequest }

const (
	// stableWindowS is stable_window_s of the site.
	stableWindowS = 3 * time.Second
	// crashDown is the time after which a worker that crashed is back.
	crashDown = 4 * time.Second
	// crashingPath is that of the request which crashes workers.
	crashingPath = "/lookup/50/belt-7"
	// crashingFor and crashingEvery are how long, and how often, the request comes.
	crashingFor   = 60 * time.Second
	crashingEvery = time.Second
)

// crashingRequest sends a request that crashes each worker that begins to run it, again and again, to any
// machine. It checks BUDGET. Without trouble the workers run it as any other.
func crashingRequest(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, 300*time.Second, 3, 3, config(7, []map[string]any{
		route("/lookup/", "storefront", "safe", 2), route("/sync/", "inventory", "safe", 4),
	}))
	if err != nil {
		return failed, err
	}
	running = append(running, f)
	var mu sync.Mutex
	var crashes []time.Time
	for _, n := range f.nodes {
		n.worker.onRun = func(r *http.Request) bool {
			if !trouble || r.URL.Path != crashingPath {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			return true
		}
	}
	if err := f.start(); err != nil {
		return failed, err
	}
	if err := f.awaitService(25 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(stableWindowS + time.Second) // all machines are in touch
	rec.line("a request comes that crashes the workers which run it")
	answers := 0
	for end := time.Now().Add(crashingFor); time.Now().Before(end); time.Sleep(crashingEvery) {
		a := f.send(f.nodes[rand.IntN(len(f.nodes))], "GET", crashingPath, 4711, 2*time.Second)
		if a.status == 200 && strings.Contains(a.body, a.id) {
			answers++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[min(2, len(crashes)-1)]) > stableWindowS && len(crashes) > 3 {
			late++
		}
	}
	rec.line("it was served %d times, and crashed %d workers, %d of them later than %v after the third; no daemon was disturbed", answers, len(crashes), late, stableWindowS)
	if late > 3 {
		rec.line("BUDGET is broken")
		return broken, nil
	}
	return held, nil
}
