// Command standin2 plays cases of the review on a small deployment: it starts the daemons with the
// command of the deploy file, and is the platform's store, the workers, the requesters and the
// operator itself. It exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(rec *recorder, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(failed)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		endAll()
		os.Exit(failed)
	}()
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	endAll()
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		code = failed
	}
	rec.line("exit %d", code)
	os.Exit(code)
}

var running []*fleet

func endAll() {
	for _, f := range running {
		f.stop()
	}
}

// answer is what a requester got. status is 0 if it got no whole answer.
type answer struct {
	id, sealedBy, body string
	status             int
	err                error
	took               time.Duration
	sent               time.Time
}

var newConnections = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends a request to a daemon on a new connection, with a time limit, and records it.
func (f *fleet) send(n *node, method, path string, key int, limit time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.entry+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	h := req.Header
	h.Set("Sesamemoor-Request-Id", a.id)
	h.Set("Sesamemoor-Deadline-Milliseconds", strconv.FormatInt(limit.Milliseconds(), 10))
	h.Set("X-Api-Key", apiKey)
	if key >= 0 {
		h.Set("Sesamemoor-Shard-Key", strconv.Itoa(key))
	}
	f.rec.line("sent %s to %s: %s %s key %d", a.id, n.name, method, path, key)
	resp, err := newConnections.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			a.status, a.sealedBy, a.body = resp.StatusCode, resp.Header.Get("Sesamemoor-Server-Seal"), string(body)
		}
	}
	a.err, a.took = err, time.Since(a.sent)
	if err != nil {
		f.rec.line("answer to %s: none (%v)", a.id, err)
	} else {
		f.rec.line("answer to %s: %d", a.id, a.status)
	}
	return a
}

// load sends lookups of random keys to random daemons, perS a second, until the context ends. It
// returns all answers.
func (f *fleet) load(ctx context.Context, perS int, limit time.Duration) []answer {
	return f.loadPath(ctx, "GET", "/lookup/50/x", perS, limit)
}

// loadPath is load for another method and path.
func (f *fleet) loadPath(ctx context.Context, method, path string, perS int, limit time.Duration) []answer {
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perS))
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := f.send(f.nodes[rand.IntN(len(f.nodes))], method, path, rand.IntN(keySpace), limit)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		}()
	}
	wg.Wait()
	return all
}

func served(all []answer) (n int) {
	for _, a := range all {
		if a.status == 200 && a.sealedBy != "" {
			n++
		}
	}
	return n
}

// awaitService waits until lookups of many keys are served.
func (f *fleet) awaitService(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		good := 0
		for range 20 {
			if a := f.send(f.nodes[rand.IntN(len(f.nodes))], "GET", "/lookup/5/x", rand.IntN(keySpace), 500*time.Millisecond); a.status == 200 {
				good++
			}
		}
		if good == 20 {
			return nil
		}
	}
	return fmt.Errorf("the deployment does not serve within %v", timeout)
}
