package owner

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn/backendconntest"
)

// answerInOrder is the answer of a stuttering server of this interface.
func answerInOrder(r *http.Request) backendconntest.Answer {
	id := r.Header.Get(headerRequest)
	a := backendconntest.Want(backendconntest.Number(id), id)
	if a.Status == http.StatusServiceUnavailable {
		a.Header = []string{headerRefused + ": shed"}
	}
	return a
}

// newStutterBackend returns a client of the server at addr.
func newStutterBackend(addr string) *backend {
	lease := new(view.LeaseCell)
	lease.Set(clock.Boot{}.Now().Add(time.Minute))
	f := viewControl{view: &view.View{Lease: lease, Backend: &view.Backend{Name: "b", Addr: addr}}}
	return newBackend(f, clock.Boot{}, noSuspects{}, 16)
}

// sendTo returns a function that sends a request to the server.
func sendTo(b *backend, method string) func(id string) backendconntest.Result {
	return func(id string) backendconntest.Result {
		req := &wire.Request{RequestId: id, Method: method, Path: "/"}
		resp, _ := b.run(context.Background(), req, 1, clock.Boot{}.Now().Add(5*time.Second))
		kind := outcome.Kind(resp.GetKind())
		return backendconntest.Result{
			OK: kind == outcome.OK, NotRun: kind.Answer().Ran == outcome.NotRun, Status: int(resp.GetStatus()), Body: string(resp.GetBody()),
		}
	}
}

// A server wrote an answer a second time. The copy was the answer to another request.
func TestCopyIsAnsweredByTheNativeOwner(t *testing.T) {
	const callers, requests = 8, 330
	for name, framing := range map[string]backendconn.Framing{
		"length": backendconn.FramingLength, "chunked": backendconn.FramingChunked, "close": backendconn.FramingClose,
	} {
		t.Run(name, func(t *testing.T) {
			sound := backendconntest.Server{IDHeader: headerRequest, Framing: framing, Answer: answerInOrder}
			addr := sound.Start(t)
			whole := sound.Play(callers, requests, backendconntest.Want, sendTo(newStutterBackend(addr), "GET"))
			if whole.Foreign+whole.WronglyRefused > 0 {
				t.Errorf("a server that does not stutter is harmed: %+v", whole)
			}
			if framing == backendconn.FramingClose {
				if whole.OK > 0 {
					t.Error("an answer without a length was accepted")
				}
			} else if conns := sound.Conns(); whole.OK+whole.Refused != requests || conns > whole.Refused+requests/10 { // the rest of a chunked refusal is not read
				t.Errorf("a server that does not stutter is harmed: %+v, %d connections", whole, conns)
			}
			for _, form := range backendconntest.Copies {
				for _, names := range []bool{true, false} {
					t.Run(fmt.Sprint(form, ", names the request ", names), func(t *testing.T) {
						s := backendconntest.Server{
							IDHeader: headerRequest, Framing: framing, Answer: answerInOrder,
							Every: 4, MaxDelay: 6 * time.Millisecond, Copy: form, CopyNames: names,
						}
						addr := s.Start(t)
						got := s.Play(callers, requests, backendconntest.Want, sendTo(newStutterBackend(addr), "GET"))
						t.Logf("%d copies, %d connections: %d of %d successes are foreign or longer", s.Copies(), s.Conns(), got.Foreign, got.OK)
						if got.Foreign+got.WronglyRefused > 0 {
							t.Errorf("%d answers are foreign or longer, %d requests that ran are refused, e.g. %s", got.Foreign, got.WronglyRefused, got.Example)
						}
						if failed := requests - got.OK - got.Refused; framing != backendconn.FramingClose && failed > s.Copies() {
							t.Errorf("%d requests failed beside %d copies", failed, s.Copies())
						}
					})
				}
			}
		})
	}
}

// A request whose success was lost on its way back came again. On the same connection the copy of
// its first answer was taken for the answer to its second run.
func TestCopyOfASuccessAnswersTheRepeat(t *testing.T) {
	is := is.New(t)
	addr := backendconntest.RepeatServer(t, headerRequest, func(string) []string { return nil })
	send := sendTo(newStutterBackend(addr), "GET")
	for _, want := range []string{"run 1", "run 2", "run 3"} {
		got := send("r-1")
		is.True(got.OK)
		is.Equal(got.Body, want)
	}
}

// A server wrote bytes behind an answer that has no body. They became part of an answer, or the
// answer to another request.
func TestBytesBehindAnAnswerWithoutABodyAreAnsweredByTheNativeOwner(t *testing.T) {
	const callers, requests = 8, 200
	for name, behind := range map[string]string{
		"text":                      "bytes that belong to no request",
		"an answer without a name":  "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign",
		"a refusal without a name":  "HTTP/1.1 503 Service Unavailable\r\n" + headerRefused + ": shed\r\nContent-Length: 0\r\n\r\n",
		"an answer that has its id": "HTTP/1.1 200 OK\r\n" + headerRequest + ": ID\r\nContent-Length: 7\r\n\r\nforeign",
		"a refusal that has its id": "HTTP/1.1 503 Service Unavailable\r\n" + headerRequest + ": ID\r\n" + headerRefused + ": shed\r\nContent-Length: 0\r\n\r\n",
	} {
		for method, status := range map[string]int{"HEAD": http.StatusOK, "GET": http.StatusNoContent, "POST": http.StatusNotModified} {
			t.Run(fmt.Sprint(name, ", ", status), func(t *testing.T) {
				want := func(int, string) backendconntest.Answer { return backendconntest.Answer{Status: status} }
				s := backendconntest.Server{IDHeader: headerRequest, Framing: backendconn.FramingNone, Answer: func(r *http.Request) backendconntest.Answer {
					id := r.Header.Get(headerRequest)
					a := backendconntest.Answer{Status: status}
					if backendconntest.Number(id)%4 == 0 {
						a.Body = strings.ReplaceAll(behind, "ID", id)
					}
					return a
				}}
				addr := s.Start(t)
				got := s.Play(callers, requests, want, sendTo(newStutterBackend(addr), method))
				if got.Foreign+got.WronglyRefused > 0 {
					t.Errorf("%d of %d answers are foreign, %d requests that ran are refused, e.g. %s", got.Foreign, got.OK, got.WronglyRefused, got.Example)
				}
				if failed := requests - got.OK - got.Refused; failed > requests/4 {
					t.Errorf("%d requests failed beside %d answers with bytes behind", failed, requests/4)
				}
			})
		}
	}
}

// A copy of the answer to one grant was taken for the answer to the next one, which the server
// had refused.
func TestCopyOfTheAnswerToAGrantAnswersTheNext(t *testing.T) {
	for name, s := range map[string]*backendconntest.OrderServer{
		"copies at once":         {Together: true},
		"copies name the grant":  {Names: true},
		"after copies of others": {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s.IDHeader, s.Header = headerRequest, func(string) []string { return nil }
			addr := s.Start(t)
			b := newStutterBackend(addr)
			send := sendTo(b, "GET")
			for n := 1; n <= 2 && !s.Together && !s.Names; n++ { // copies that name their request come first
				is.Equal(send(backendconntest.ID(n)).OK, n == 1)
			}
			for n := 1; n <= 6; n++ {
				err := b.sendGrant(t.Context(), grantKey{})
				is.Equal(err == nil, n%2 == 1)
			}
		})
	}
}

// A server broke off an answer and kept the connection. The start of the next answer there was the
// end of the body that the caller got.
func TestNextAnswerFillsOneThatBrokeOff(t *testing.T) {
	const callers, requests = 8, 200
	for _, framing := range []backendconn.Framing{backendconn.FramingLength, backendconn.FramingChunked} {
		for _, missing := range [][2]int{{1, 11}, {12, 40}, {41, 300}} { // in the status line, in the head, behind it
			for _, form := range []backendconntest.Copy{backendconntest.Whole, backendconntest.TwoPieces} {
				for _, earlier := range []bool{false, true} {
					for _, delay := range []time.Duration{0, 6 * time.Millisecond} {
						name := fmt.Sprintf("%s, %d to %d bytes, %s, of the request before %t, late %t", framing, missing[0], missing[1], form, earlier, delay > 0)
						t.Run(name, func(t *testing.T) {
							s := backendconntest.Server{
								IDHeader: headerRequest, Framing: framing, Answer: answerInOrder, Every: 4, MaxDelay: delay, Copy: form, CopyNames: true,
								Break: backendconntest.Break{Min: missing[0], Max: missing[1], Earlier: earlier},
							}
							addr := s.Start(t)
							got := s.Play(callers, requests, backendconntest.Want, sendTo(newStutterBackend(addr), "GET"))
							t.Logf("%d answers broke off: %d of %d successes are foreign", s.Copies(), got.Foreign, got.OK)
							if got.Foreign+got.WronglyRefused > 0 {
								t.Errorf("%d answers are foreign, %d requests that ran are refused, e.g. %s", got.Foreign, got.WronglyRefused, got.Example)
							}
						})
					}
				}
			}
		}
	}
}
