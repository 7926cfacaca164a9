package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/fx/fxtest"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// cutter passes the bytes of one connection on, those from the server up to a limit.
type cutter struct {
	limit int // bytes from the server; -1: all
	reset bool
	pause time.Duration // after each piece from the server
	piece int           // bytes
}

func (c cutter) run(caller, server *net.TCPConn) {
	defer caller.Close()
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, caller)
		_ = server.CloseWrite()
	}()
	buf := make([]byte, c.piece)
	for left := c.limit; left != 0; {
		size := len(buf)
		if left > 0 {
			size = min(size, left)
		}
		n, err := server.Read(buf[:size])
		if _, werr := caller.Write(buf[:n]); err != nil || werr != nil {
			return
		}
		if left > 0 {
			left -= n
		}
		time.Sleep(c.pause)
	}
	if c.reset {
		_ = caller.SetLinger(0)
	}
}

// dialThrough connects to addr through a cutter.
func dialThrough(t *testing.T, addr string, c cutter) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	inner, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	go c.run(inner.(*net.TCPConn), server.(*net.TCPConn))
	return caller
}

// bodyFor is the body with which a backend server answers a request.
func bodyFor(id string) []byte {
	r := rand.New(rand.NewPCG(uint64(len(id)), uint64(hash(id))))
	size := r.IntN(1 << (1 + r.IntN(18)))
	return bytes.Repeat([]byte(id+";"), 1+size/(len(id)+1))[:size]
}

func hash(id string) (h uint32) {
	for _, b := range []byte(id) {
		h = h*31 + uint32(b)
	}
	return h
}

// randomAnswers answers requests at once or late, whole, cut on their way, without a body, or not at all.
type randomAnswers struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (a *randomAnswers) respond(_ string, req *wire.Request) (*wire.Response, error) {
	a.mu.Lock()
	kind, pause, odd := a.r.IntN(40), a.r.IntN(8), a.r.IntN(4)
	a.mu.Unlock()
	if pause > 5 {
		time.Sleep(time.Duration(pause) * 200 * time.Microsecond)
	}
	body := bodyFor(req.GetRequestId())
	resp := &wire.Response{
		Kind: uint32(outcome.OK), Status: 200, Body: body, BodyLength: uint32(len(body)),
		Headers: []*wire.Header{{Name: "Seal", Value: req.GetRequestId()}, {Name: "Content-Type", Value: "text/plain"}},
	}
	switch kind {
	case 0:
		return responseOfKind(outcome.ConnectionLost)
	case 1:
		return responseOfKind(outcome.AnswerCut)
	case 2:
		return responseOfKind(outcome.BackendShed)
	case 3:
		resp.Body = body[:len(body)/2]
	case 4:
		panic(http.ErrAbortHandler)
	case 5:
		resp.Status = 500
	case 6:
		resp.Status = 404
	case 7:
		resp.Status, resp.Body, resp.BodyLength = 204, nil, 0
	case 8:
		resp.Status, resp.Body, resp.BodyLength = 304, nil, 0
	}
	if req.GetMethod() == http.MethodHead {
		resp.Body, resp.BodyLength = nil, 0
	}
	if odd == 0 { // headers that hold for the server's connection only
		for _, field := range [][2]string{
			{"Connection", "close, keep-alive"}, {"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}, {"Trailer", "Seal"},
			{"Keep-Alive", "timeout=1"}, {"Upgrade", "h2c"}, {"content-length", "7"},
		} {
			resp.Headers = append(resp.Headers, &wire.Header{Name: field[0], Value: field[1]})
		}
	}
	return resp, nil
}

// sentRequest is a request of a caller.
type sentRequest struct{ id, method, text string }

func randomSent(r *rand.Rand, id string) sentRequest {
	s := sentRequest{id: id, method: http.MethodGet}
	path, body, version := []string{"/list/", "/read/", "/order/"}[r.IntN(3)], "", "1.1"
	extra := ""
	switch r.IntN(9) {
	case 0:
		s.method = http.MethodHead
	case 1, 2:
		s.method = http.MethodPost
		body = strings.Repeat("b", r.IntN(1<<r.IntN(13)))
		extra = fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if r.IntN(3) == 0 && body != "" {
			extra += "Expect: 100-continue\r\n"
		}
	case 3:
		if r.IntN(3) == 0 {
			version, extra = "1.0", []string{"", "Connection: keep-alive\r\n"}[r.IntN(2)]
		}
	case 4:
		if r.IntN(4) == 0 {
			extra = "Connection: close\r\n"
		}
	case 5:
		if r.IntN(4) == 0 {
			path = "/unknown/" // refused with its body unread
			extra = "Content-Length: 3\r\n"
			body = "abc"
		}
	}
	s.text = fmt.Sprintf("%s %s1 HTTP/%s\r\nHost: a\r\nId: %s\r\nKey: %s\r\nNumber: 3\r\n%s\r\n%s", s.method, path, version, id, teamKey, extra, body)
	return s
}

// tally counts what callers saw.
type tally struct {
	mu                        sync.Mutex
	whole, refused, cut, ends int
}

// read reads the answers to requests and checks those that look whole.
func (c *tally) read(conn net.Conn, requests []sentRequest) error {
	r := bufio.NewReader(conn)
	for _, req := range requests {
		var resp *http.Response
		var err error
		for resp == nil || resp.StatusCode == http.StatusContinue {
			if resp, err = http.ReadResponse(r, &http.Request{Method: req.method}); err != nil {
				c.mu.Lock()
				c.ends++
				c.mu.Unlock()
				return nil
			}
		}
		body, err := io.ReadAll(resp.Body)
		c.mu.Lock()
		switch {
		case err != nil:
			c.cut++
		case resp.Header.Get("Seal") == "":
			c.refused++
		default:
			c.whole++
		}
		c.mu.Unlock()
		if err != nil {
			return nil
		}
		bodiless := req.method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
		want := bodyFor(req.id)
		switch seal := resp.Header.Get("Seal"); {
		case seal == "" && (len(body) > 0 || resp.StatusCode < 400):
			return fmt.Errorf("%s: refusal of status %d with %d bytes", req.id, resp.StatusCode, len(body))
		case seal == "" && resp.Header.Get("Id") != req.id:
			return fmt.Errorf("%s: refusal of %q", req.id, resp.Header.Get("Id"))
		case seal != "" && seal != req.id:
			return fmt.Errorf("%s: answer to %s", req.id, seal)
		case seal != "" && bodiless && len(body) > 0:
			return fmt.Errorf("%s: %d bytes where none belong", req.id, len(body))
		case seal != "" && !bodiless && !bytes.Equal(body, want):
			return fmt.Errorf("%s: status %d, body of %d bytes, want %d", req.id, resp.StatusCode, len(body), len(want))
		}
		if resp.Close {
			return nil
		}
	}
	return nil
}

// An answer that is cut on its way to the caller must not look whole, nor be another request's.
func TestAnswersAreWholeAndTheirOwnOnConnectionsThatAreCutAnywhere(t *testing.T) {
	const rounds, conns, requests = 12, 24, 24
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	var c tally
	for round := range rounds {
		s := newFakeDaemon()
		s.respond = (&randomAnswers{r: rand.New(rand.NewPCG(seed, uint64(round)))}).respond
		s.view.Config.HostRoutes = append([]fleet.HostRoute(nil), s.view.Config.HostRoutes...)
		for i := range s.view.Config.HostRoutes {
			s.view.Config.HostRoutes[i].TimeoutMS = 5000
		}
		unused, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		set := settings.Default()
		set.EntryAddr = unused.Addr().String()
		_ = unused.Close()
		lc := fxtest.NewLifecycle(quiet{t})
		serveCallers(lc, set, nil, newTestHandler(t, s).(*gateway))
		lc.RequireStart()
		var wg sync.WaitGroup
		for i := range conns {
			r := rand.New(rand.NewPCG(seed+1, uint64(round*conns+i)))
			list := make([]sentRequest, 1+r.IntN(requests))
			var text strings.Builder
			for n := range list {
				list[n] = randomSent(r, fmt.Sprintf("%d-%d-%d", round, i, n))
				text.WriteString(list[n].text)
			}
			cut := cutter{limit: -1, reset: r.IntN(2) == 0, piece: 1 << r.IntN(16)}
			if r.IntN(3) > 0 {
				cut.limit = 1 + r.IntN(1<<(4+r.IntN(17)))
			}
			if cut.piece > 1<<10 && r.IntN(2) == 0 {
				cut.pause = time.Duration(r.IntN(500)) * time.Microsecond
			}
			conn := dialThrough(t, set.EntryAddr, cut)
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			pieces := r.IntN(4)
			halfClose := r.IntN(8) == 0
			wg.Go(func() {
				for rest := text.String(); rest != ""; {
					n := min(len(rest), len(rest)>>pieces+1)
					if _, err := io.WriteString(conn, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
				if halfClose {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			})
			wg.Go(func() {
				defer conn.Close()
				if err := c.read(conn, list); err != nil {
					t.Errorf("round %d, connection %d: %v", round, i, err)
				}
			})
		}
		if round%2 == 0 {
			time.Sleep(time.Duration(rand.New(rand.NewPCG(seed+2, uint64(round))).IntN(60)) * time.Millisecond)
		} else {
			wg.Wait()
		}
		lc.RequireStop()
		wg.Wait()
	}
	t.Logf("%d answers whole, %d refused, %d cut in the body, %d connections ended between answers", c.whole, c.refused, c.cut, c.ends)
	if c.whole == 0 || c.refused == 0 || c.cut == 0 {
		t.Error("a case is missing")
	}
}

// quiet is a test without the lines of a lifecycle.
type quiet struct{ *testing.T }

func (quiet) Logf(string, ...any) {}
