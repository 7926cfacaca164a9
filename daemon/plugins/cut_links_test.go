package plugins_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/daemon/plugins/entry"
)

// answerTo is the body of the answer to a request.
func answerTo(id string, size int) []byte { return bytes.Repeat([]byte(id+";"), 1+size/(len(id)+1)) }

// startEcho starts a backend server that answers with answerTo, after a pause, with a length
// or in chunks. Some answers end early.
func startEcho(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		size, _ := strconv.Atoi(r.Header.Get("X-Size"))
		pause, _ := time.ParseDuration(r.Header.Get("X-Pause"))
		body := answerTo(r.Header.Get("X-Id"), size)
		time.Sleep(pause)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		if size%2 == 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		if size%16 == 3 {
			body = body[:len(body)/2]
		}
		_, _ = w.Write(body)
		if size%2 == 1 {
			_ = http.NewResponseController(w).Flush()
		}
		if size%16 == 3 {
			panic(http.ErrAbortHandler)
		}
	})}
	go func() { _ = srv.Serve(listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	return listener.Addr().String()
}

// cutLinks passes connections on to target and cuts each of them at random, within a number of
// bytes of either direction, by an end of file or a reset.
func cutLinks(t *testing.T, target string, seed uint64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := uint64(0); ; n++ {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			r := rand.New(rand.NewPCG(seed, n))
			up, down, reset := r.Int64N(1<<(14+r.IntN(6))), r.Int64N(1<<(14+r.IntN(8))), r.IntN(2) == 0
			var once sync.Once
			pass := func(to, from net.Conn, limit int64) {
				_, _ = io.CopyN(to, from, limit)
				once.Do(func() {
					for _, conn := range []net.Conn{client, server} {
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					}
				})
			}
			go pass(server, client, up)
			go pass(client, server, down)
		}
	}()
	return listener.Addr().String()
}

// An answer that is cut between daemons, or comes late after a repeat, must not look whole or answer another request.
func TestAnswersAreWholeAndTheirOwnThroughDaemonsWhoseLinksAreCut(t *testing.T) {
	const callers, requests = 16, 50
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	backend, peer := startEcho(t), freeAddr(t)
	core, lines := observer.New(zap.InfoLevel)
	log := zap.New(core)
	startLoggedDaemon(t, fleetView(2, peer, backend), peer, backend, log)
	front := startLoggedDaemon(t, fleetView(1, cutLinks(t, peer, seed), backend), freeAddr(t), "", log)
	var mu sync.Mutex
	outcomes := map[string]int{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed+1, uint64(i)))
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := range requests {
				got := exchangeOnce(t, client, front, fmt.Sprintf("%d-%d", i, n), r)
				mu.Lock()
				outcomes[got]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%v", outcomes)
	compareBodyBytes(t, lines)
	if outcomes["ok"] == 0 || outcomes["connection_lost"] == 0 || outcomes["left"] == 0 || outcomes["answer_cut"] == 0 {
		t.Error("a case is missing")
	}
}

// compareBodyBytes checks that a request that succeeded and the run whose answer was passed on
// have the same body_bytes in their lines.
func compareBodyBytes(t *testing.T, lines *observer.ObservedLogs) {
	type run struct{ id, attempt any }
	runs := map[run]any{}
	for _, line := range lines.FilterMessage("run").FilterField(zap.Stringer("outcome", outcome.OK)).All() {
		fields := line.ContextMap()
		runs[run{fields["request_id"], fields["attempt"]}] = fields["body_bytes"]
	}
	requests := lines.FilterMessage("request").FilterField(zap.Stringer("outcome", outcome.OK)).All()
	for _, line := range requests {
		fields := line.ContextMap()
		if got, ok := runs[run{fields["request_id"], fields["attempts"]}]; !ok || got != fields["body_bytes"] {
			t.Errorf("%v: body_bytes %v in the run's line, %v in the request's", fields["request_id"], got, fields["body_bytes"])
		}
	}
	if len(requests) == 0 || lines.FilterMessage("answer lost with its link").Len() == 0 {
		t.Error("a case is missing")
	}
}

// exchangeOnce sends a request and returns the outcome of its answer, which it checks.
func exchangeOnce(t *testing.T, client *http.Client, addr, id string, r *rand.Rand) string {
	size := r.IntN(1 << (2 + r.IntN(15)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if r.IntN(12) == 0 { // the caller leaves
		defer time.AfterFunc(time.Duration(r.IntN(3000))*time.Microsecond, cancel).Stop()
	}
	method := []string{http.MethodGet, http.MethodPost}[r.IntN(2)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/stock/key", nil)
	if err != nil {
		t.Error(err)
		return ""
	}
	req.Header.Set("X-Api-Key", callerKey)
	if method == http.MethodGet { // the history of others' ids begins with a takeover
		req.Header.Set(entry.HeaderRequestID, id)
	}
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Size", strconv.Itoa(size))
	req.Header.Set("X-Pause", time.Duration(r.IntN(3000)*1000).String())
	timeout := 100
	if r.IntN(6) == 0 {
		timeout = 1 + r.IntN(4)
	}
	req.Header.Set(entry.HeaderTimeout, strconv.Itoa(timeout))
	resp, err := client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			t.Errorf("%s: %v", id, err)
		}
		return "left"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	kind := resp.Header.Get(entry.HeaderOutcome)
	switch want := answerTo(id, size); {
	case err != nil && ctx.Err() != nil:
		return "left"
	case err != nil:
		t.Errorf("%s: %v", id, err)
	case method == http.MethodGet && resp.Header.Get(entry.HeaderRequestID) != id:
		t.Errorf("%s: answer to %s", id, resp.Header.Get(entry.HeaderRequestID))
	case kind == "ok" && (resp.Header.Get("X-Id") != id || !bytes.Equal(body, want) || size%16 == 3):
		t.Errorf("%s: answer of %q with %d bytes, want %d", id, resp.Header.Get("X-Id"), len(body), len(want))
	case kind != "ok" && resp.StatusCode < 400:
		t.Errorf("%s: %s with status %d", id, kind, resp.StatusCode)
	}
	return kind
}
