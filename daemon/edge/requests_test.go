package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// randomRequest returns a request whose answer is body.
func randomRequest(rng *rand.Rand, body string) string {
	head := "POST /echo HTTP/1.1\r\nHost: a\r\n"
	if rng.IntN(4) == 0 {
		head += "Expect: 100-continue\r\n"
	}
	if rng.IntN(2) == 0 {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	var chunks strings.Builder
	for rest := body; rest != ""; {
		n := 1 + rng.IntN(len(rest))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n"
}

// readEcho returns the body of the next answer that is not 100 (Continue).
func readEcho(r *bufio.Reader) (string, error) {
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusContinue {
			return string(body), err
		}
	}
}

// Callers get the answers to their own requests in order, and one to each that was read,
// whatever the requests look like and however their bytes arrive before a stop.
func TestEveryRequestGetsItsOwnAnswerUntilTheStop(t *testing.T) {
	const (
		rounds  = 8
		callers = 24
		runTime = 60 * time.Millisecond
	)
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			var answers, cut atomic.Int64
			for round := range rounds {
				core, lines := observer.New(zap.InfoLevel)
				addr := freeAddr(t)
				lc := fxtest.NewLifecycle(t)
				listen(lc, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					if err != nil {
						panic(http.ErrAbortHandler)
					}
					if len(body)%5 == 0 {
						time.Sleep(time.Duration(len(body)) * time.Microsecond / 4)
					}
					if len(body)%11 == 0 && EndAfter(r.Context()) {
						w.Header().Set("Connection", "close")
					}
					_, _ = w.Write(body)
				}), IdleTimeout: 5 * time.Millisecond}, "test", addr, zap.New(core))
				lc.RequireStart()
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						rng := rand.New(rand.NewPCG(uint64(round), uint64(i)))
						for {
							conn, err := net.Dial("tcp", addr)
							if err != nil {
								return // stopped
							}
							n, err := converse(t, rng, conn)
							answers.Add(int64(n))
							if err != nil {
								cut.Add(1)
							}
						}
					})
				}
				time.Sleep(runTime)
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				if err := lc.Stop(ctx); err != nil {
					t.Error(err)
				}
				cancel()
				wg.Wait()
				for _, line := range lines.FilterMessage("caller connection ended").All() {
					fields := line.ContextMap()
					if fields["reason"] != string(endCallerClosed) && fields["unanswered_bytes"] != int64(0) {
						t.Errorf("left without an answer: %v", fields)
					}
				}
			}
			t.Logf("%d answers, %d connections ended before all", answers.Load(), cut.Load())
			if answers.Load() == 0 {
				t.Error("no answer")
			}
		})
	}
}

// converse sends requests on one connection in pieces and reads their answers beside that. It
// returns the number of answers, and an error if the connection ended before all came.
func converse(t *testing.T, rng *rand.Rand, conn net.Conn) (answers int, err error) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	var bodies []string
	var text strings.Builder
	ends := make([]int, 1+rng.IntN(40))
	for i := range ends {
		body := fmt.Sprintf("%d-%d-%s", rng.Uint64(), i, strings.Repeat("x", rng.IntN(1<<rng.IntN(13))))
		bodies = append(bodies, body)
		text.WriteString(randomRequest(rng, body))
		ends[i] = text.Len()
	}
	begun := acknowledged(t, conn)
	pieces := rng.IntN(4) // as a power of two
	var wg sync.WaitGroup
	wg.Go(func() {
		rest := text.String()
		for size := len(rest)>>pieces + 1; rest != ""; {
			piece := rest[:min(size, len(rest))]
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
			rest = rest[len(piece):]
		}
	})
	r := bufio.NewReader(conn)
	for i, want := range bodies {
		got, err := readEcho(r)
		if err != nil {
			_ = conn.SetDeadline(time.Now())
			wg.Wait()
			read := acknowledged(t, conn) - begun
			if errors.Is(err, io.EOF) && read > 0 && i < len(ends) && read >= uint64(ends[i]) && !reset(conn) {
				t.Errorf("the connection ended with %d bytes read, and %d requests of %v were answered", read, i, ends[:i+1])
			}
			return i, err
		}
		if got != want {
			t.Errorf("answer %d is %.40q of %d bytes, want %.40q of %d", i, got, len(got), want, len(want))
			return i, nil
		}
	}
	wg.Wait()
	return len(bodies), nil
}

// reset reports whether a connection was reset: it ended with bytes that were not read.
func reset(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err := io.WriteString(conn, "x")
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}
