package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["second-sigterm"] = secondSigterm }

// secondSigterm stops a daemon as the platform does, with requests in progress, and sends SIGTERM once
// more a second later. It checks LOST.
func secondSigterm(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, 300*time.Second, 3, 2, config(7, []map[string]any{
		route("/lookup/", "storefront", "safe", 2), route("/order/", "storefront", "unsafe", 2.5),
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
	time.Sleep(stableWindowS + time.Second)
	stopped := f.nodes[len(f.nodes)-1]
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	order := func() {
		defer wg.Done()
		a := f.send(stopped, "POST", "/order/1500/x", rand.IntN(keySpace), 2500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, a)
	}
	for range 10 {
		wg.Add(1)
		go order()
		time.Sleep(20 * time.Millisecond)
	}
	rec.line("SIGTERM to %s", stopped.name)
	_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if trouble {
		rec.line("SIGTERM to %s once more", stopped.name)
		_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
	}
	wg.Wait()
	cut := 0
	for _, a := range all {
		if runs := f.rec.runsOf(a.id); a.err != nil && len(runs) > 0 {
			cut++
			rec.line("%s was passed on to worker %s, and its connection ended without an answer", a.id, runs[0].worker)
		}
	}
	rec.line("%d of %d requests were cut", cut, len(all))
	if cut > 0 {
		rec.line("LOST is broken")
		return broken, nil
	}
	return held, nil
}
