package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var errNotServed = errors.New("the fleet did not serve all keys in time")

// ownerLimit is the time for which two boots may hold the same keys by the rule OWNER.
const ownerLimit = 500 * time.Millisecond

// startWatched starts a fleet and waits until it serves.
func startWatched(rec *record, dir string, storefront, inventory int, serviceTime time.Duration) (*fleet, error) {
	f, err := newFleet(rec, dir, storefront, inventory, serviceTime)
	if err != nil {
		return f, err
	}
	if !f.awaitServed(30 * time.Second) {
		return f, errNotServed
	}
	rec.add("all keys are served")
	return f, nil
}

// load sends requests at a steady rate to all machines until done is closed.
func (f *fleet) load(perS int, done <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perS))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			m, key := f.machines[n%len(f.machines)], rand.IntN(keySpace)
			wg.Go(func() {
				if n%3 == 0 {
					f.send(m, "POST", "/order/1", fmt.Sprintf("order-%d", n), key, "belt", 2500*time.Millisecond)
				} else {
					f.send(m, "GET", "/read/1", fmt.Sprintf("read-%d", n), key, "", 2*time.Second)
				}
			})
		}
	})
	return &wg
}

// watchHolds runs during and checks the rule OWNER meanwhile.
func (f *fleet) watchHolds(during func()) {
	done := make(chan struct{})
	wg := f.load(40, done)
	var watch sync.WaitGroup
	watch.Go(func() {
		longest, ranges := f.doubleHolds(ownerLimit, done)
		f.rec.add("ranges with two holders for over %v: %d; longest %v", ownerLimit, ranges, longest)
		fmt.Printf("ranges with two holders for over %v: %d; longest %v\n", ownerLimit, ranges, longest.Round(time.Millisecond))
	})
	during()
	close(done)
	watch.Wait()
	wg.Wait()
}

// oddAnnouncement: another writer sends one announcement with fields missing.
func oddAnnouncement(rec *record, dir string, trouble bool) error {
	f, err := startWatched(rec, dir, 4, 2, 30*time.Millisecond)
	defer f.stop()
	if err != nil {
		return err
	}
	f.watchHolds(func() {
		time.Sleep(4 * time.Second)
		m := f.machines[0]
		unused, _ := freePort(m.ip)
		odd := map[string]any{
			"address": unused, "born": time.Now().UnixMilli(),
			"information": map[string]any{"service": m.service, "slots": 9}, // no version, no zone
			"status":      map[string]any{"state": "ready", "sequence": 1},  // no cold_remaining_s
		}
		m.worker.awaitRenewed(5 * time.Second)
		if trouble {
			rec.add("another writer sends an announcement without version, zone and cold_remaining_s to %s", m.name)
			rec.add("it is answered %d", post(m.control, "i-0dd0dd00", odd))
		}
		time.Sleep(12 * time.Second)
	})
	return nil
}

// restartDelay is the time from the end of a daemon to its next start.
const restartDelay = 50 * time.Millisecond

// lateAnnouncement: a server crashes while a heartbeat of it is held up, and is back as
// another boot. Its daemon is killed and starts again; then the heartbeat arrives.
func lateAnnouncement(rec *record, dir string, trouble bool) error {
	f, err := newFleet(rec, dir, 4, 2, 30*time.Millisecond)
	defer f.stop()
	if err != nil {
		return err
	}
	m := f.machines[0]
	old := m.worker
	time.Sleep(300 * time.Millisecond)
	late, sent := old.heartbeat(), time.Now()
	rec.add("boot %s sends a heartbeat that is held up", old.id)
	time.Sleep(50 * time.Millisecond)
	old.crash()
	time.Sleep(300 * time.Millisecond)
	fresh := f.newBoot(m, old.addr, old.serviceTime)
	for fresh.start() != nil {
		time.Sleep(10 * time.Millisecond)
	}
	m.worker = fresh
	beats := make(chan struct{})
	go func() {
		for {
			post(m.control, fresh.id, fresh.heartbeat())
			select {
			case beats <- struct{}{}:
			default:
			}
			time.Sleep(beatInterval)
		}
	}()
	if !f.awaitServed(30 * time.Second) {
		return errNotServed
	}
	rec.add("all keys are served; boot %s holds keys of %d ranges", fresh.id, fresh.heldRanges(0))
	f.watchHolds(func() {
		time.Sleep(500 * time.Millisecond)
		// The kill comes when a heartbeat of the present boot was just answered and most of
		// its holds were just renewed.
		for range 20 {
			<-beats
			if fresh.awaitRenewed(300 * time.Millisecond) {
				break
			}
		}
		f.killDaemon(m)
		time.Sleep(restartDelay)
		if err = f.startDaemon(m); err != nil {
			return
		}
		for trouble {
			if status := post(m.control, old.id, late); status != 0 {
				rec.add("the heartbeat of boot %s arrives %v after it was sent, and is answered %d", old.id, time.Since(sent).Round(time.Millisecond), status)
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
	})
	return err
}

// restartTime is the time that a crashed server of supervisedRestart needs to start again.
const restartTime = 300 * time.Millisecond

// supervisedRestart: servers crash and are started again by a supervisor that keeps their
// listening sockets open. Each new boot announces itself at once.
func supervisedRestart(rec *record, dir string, trouble bool) error {
	f, err := startWatched(rec, dir, 4, 2, 30*time.Millisecond)
	defer f.stop()
	if err != nil {
		return err
	}
	f.watchHolds(func() {
		time.Sleep(3 * time.Second)
		for _, m := range f.machines[:3] {
			if trouble {
				old := m.worker
				fresh := f.newBoot(m, old.addr, old.serviceTime)
				fresh.port = old.port
				old.crashSupervised()
				time.Sleep(restartTime)
				_ = fresh.start()
				m.worker = fresh
				go fresh.beat(m.control, beatInterval)
			}
			time.Sleep(6 * time.Second)
		}
	})
	return nil
}

// Doses of lateRefusal.
const (
	shedShare = 0.45 // of the orders are refused unexecuted
	copyShare = 0.03 // of the refusals are written once more, late
)

// lateRefusal: servers refuse a part of the orders, and write some refusals a second time
// where the next answer is expected.
func lateRefusal(rec *record, dir string, trouble bool) error {
	f, err := startWatched(rec, dir, 4, 2, 30*time.Millisecond)
	defer f.stop()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	copies := map[net.Conn]string{} // id of the refusal to write once more
	refusal := func(c net.Conn, id string) {
		respond(c, 503, map[string]string{"Sesamemoor-Not-Executed": "1", "Sesamemoor-Request-Id": id}, "")
	}
	reply := func(w *worker, c net.Conn, req *http.Request, _ []byte) bool {
		if req.Method != "POST" {
			return false
		}
		id := req.Header.Get("Sesamemoor-Request-Id")
		mu.Lock()
		again, ok := copies[c]
		delete(copies, c)
		shed := rand.Float64() < shedShare
		if !ok && shed && trouble && rand.Float64() < copyShare {
			copies[c] = id
		}
		mu.Unlock()
		if ok {
			rec.add("server %s writes its refusal of %s once more, before the answer to %s", w.name, again, id)
			refusal(c, again)
			return false
		}
		if shed {
			rec.add("server %s refuses %s", w.name, id)
			refusal(c, id)
		}
		return shed
	}
	for _, m := range f.machines {
		m.worker.mu.Lock()
		m.worker.reply = reply
		m.worker.mu.Unlock()
	}
	var wg sync.WaitGroup
	var refused, orders atomic.Int64
	ticker := time.NewTicker(time.Second / 73)
	defer ticker.Stop()
	for n := range 73 * 30 {
		<-ticker.C
		m, key, id := f.machines[n%len(f.machines)], rand.IntN(keySpace), fmt.Sprintf("order-%d", n)
		wg.Go(func() {
			a := f.send(m, "POST", "/order/1", id, key, "belt", 2500*time.Millisecond)
			orders.Add(1)
			if a.status == 503 || a.status == 429 {
				refused.Add(1)
				time.Sleep(time.Second)
				if n := rec.runCount(id); n > 0 {
					rec.breach("REFUSED %s was answered %d and has run", id, a.status)
				}
			}
			if n := rec.runCount(id); n > 1 {
				rec.breach("TWICE %s ran %d times", id, n)
			}
		})
	}
	wg.Wait()
	rec.add("orders %d, refused %d", orders.Load(), refused.Load())
	fmt.Printf("orders %d, refused %d\n", orders.Load(), refused.Load())
	return nil
}

const (
	memoryMB  = 284      // memory_mb of the settings
	bodyBytes = 32 << 20 // half of max_body_bytes
	uploads   = 8        // orders sent at once
	rounds    = 3
)

// largeBodies: a few requesters send large orders at once. The platform kills a process
// that takes more memory than it may, and starts it again.
func largeBodies(rec *record, dir string, trouble bool) error {
	f, err := startWatched(rec, dir, 4, 2, 30*time.Millisecond)
	defer f.stop()
	if err != nil {
		return err
	}
	size := 24000
	if trouble {
		size = bodyBytes
	}
	body := strings.Repeat("b", size)
	ended := 0
	for _, m := range f.machines[:2] {
		ends := 0
		for round := range rounds {
			done := make(chan struct{})
			over := make(chan int, 1)
			go func() { over <- watchMemory(m.cmd.Process.Pid, done) }()
			var wg sync.WaitGroup
			for i := range uploads {
				wg.Go(func() {
					f.send(m, "POST", "/order/1", fmt.Sprintf("order-%s-%d-%d", m.name, round, i), i*8000, body, 2500*time.Millisecond)
				})
			}
			killed := false
			go func() { wg.Wait(); close(done) }()
			if mb := <-over; mb > memoryMB {
				killed = true
				rec.add("daemon %s takes %d MB of memory; the platform ends it", m.name, mb)
				f.killDaemon(m)
			}
			<-done
			if killed {
				ends++
				time.Sleep(restartDelay)
				if err := f.startDaemon(m); err != nil {
					return err
				}
			}
			if !f.awaitServed(20*time.Second) || !m.awaitReady(10*time.Second) {
				return errNotServed
			}
			time.Sleep(time.Second)
		}
		if ends >= rounds {
			ended++
		}
		fmt.Printf("%s: ended %d times of %d\n", m.name, ends, rounds)
	}
	if ended >= 2 {
		rec.breach("Fault: at %d machines processes ended by themselves %d times, over their memory", ended, rounds)
	}
	return nil
}

// watchMemory returns the most memory that a process was seen to take, in MB, once that
// is over memoryMB or done is closed.
func watchMemory(pid int, done <-chan struct{}) int {
	most := 0
	for {
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		for line := range strings.Lines(string(data)) {
			kb := 0
			if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
				most = max(most, kb>>10)
			}
		}
		if most > memoryMB {
			return most
		}
		select {
		case <-done:
			return most
		case <-time.After(2 * time.Millisecond):
		}
	}
}
