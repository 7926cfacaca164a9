package backend

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
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn/backendconntest"
)

// answerInOrder is the answer of a stuttering server of this interface.
func answerInOrder(r *http.Request) backendconntest.Answer {
	id := r.Header.Get("Id")
	a := backendconntest.Want(backendconntest.Number(id), id)
	if a.Status == http.StatusServiceUnavailable {
		a.Header = []string{"Not-Run: 1"}
	} else {
		a.Header = []string{"Seal: s." + id}
	}
	return a
}

// sendTo returns a function that sends a request to the server at addr.
func sendTo(c *client, addr, method string) func(id string) backendconntest.Result {
	return func(id string) backendconntest.Result {
		req := &wire.Request{RequestId: id, Method: method, Path: "/", Host: "a"}
		resp, _, _ := c.run(context.Background(), &server{addr: addr, id: "i-1"}, req, 5*time.Second)
		k := kind(resp)
		return backendconntest.Result{
			OK: k == outcome.OK, NotRun: k.Answer().Ran == outcome.NotRun, Status: int(resp.GetStatus()), Body: string(resp.GetBody()),
		}
	}
}

// A server wrote an answer a second time. The copy, its head included, was the end of the body
// that the caller got, or the answer to another request.
func TestBodyContainsALateCopy(t *testing.T) {
	const callers, requests = 8, 330
	for name, frame := range map[string]struct {
		framing     backendconn.Framing
		closeHeader bool
	}{
		"length":       {framing: backendconn.FramingLength},
		"chunked":      {framing: backendconn.FramingChunked},
		"close":        {framing: backendconn.FramingClose},
		"close_header": {framing: backendconn.FramingClose, closeHeader: true},
		"mixed":        {},
	} {
		t.Run(name, func(t *testing.T) {
			sound := backendconntest.Server{IDHeader: "Id", Framing: frame.framing, CloseHeader: frame.closeHeader, Answer: answerInOrder}
			addr := sound.Start(t)
			whole := sound.Play(callers, requests, backendconntest.Want, sendTo(newClient(clock.Boot{}, &fake{}, noSuspects{}), addr, "GET"))
			if whole.OK+whole.Refused != requests || whole.Foreign+whole.WronglyRefused > 0 {
				t.Errorf("a server that does not stutter is harmed: %+v", whole)
			}
			if conns := sound.Conns(); frame.framing != backendconn.FramingClose && frame.framing != "" && conns > whole.Refused+requests/10 { // the rest of a chunked refusal is not read
				t.Errorf("a server that does not stutter got %d connections for %d requests", conns, requests)
			}
			for _, form := range backendconntest.Copies {
				for _, names := range []bool{true, false} {
					t.Run(fmt.Sprint(form, ", names the request ", names), func(t *testing.T) {
						s := backendconntest.Server{
							IDHeader: "Id", Framing: frame.framing, CloseHeader: frame.closeHeader, Answer: answerInOrder,
							Every: 4, MaxDelay: 6 * time.Millisecond, Copy: form, CopyNames: names,
						}
						addr := s.Start(t)
						got := s.Play(callers, requests, backendconntest.Want, sendTo(newClient(clock.Boot{}, &fake{}, noSuspects{}), addr, "GET"))
						t.Logf("%d copies, %d connections: %d of %d successes are foreign or longer", s.Copies(), s.Conns(), got.Foreign, got.OK)
						if got.Foreign+got.WronglyRefused > 0 {
							t.Errorf("%d answers are foreign or longer, %d requests that ran are refused, e.g. %s", got.Foreign, got.WronglyRefused, got.Example)
						}
						if failed := requests - got.OK - got.Refused; failed > s.Copies() {
							t.Errorf("%d requests failed beside %d copies", failed, s.Copies())
						}
					})
				}
			}
		})
	}
}

// A server wrote bytes behind an answer that has no body. They became part of an answer, or the
// answer to another request.
func TestBytesBehindAnAnswerWithoutABodyAreAnswered(t *testing.T) {
	const callers, requests = 8, 200
	for name, behind := range map[string]string{
		"text":                       "bytes that belong to no request",
		"an answer without a name":   "HTTP/1.1 200 OK\r\nSeal: s.0\r\nContent-Length: 7\r\n\r\nforeign",
		"a refusal without a name":   "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"an answer that has its id":  "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s.0\r\nContent-Length: 7\r\n\r\nforeign",
		"a refusal that has its id":  "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"an unframed answer with id": "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s.0\r\n\r\nforeign",
	} {
		for method, status := range map[string]int{"HEAD": http.StatusOK, "GET": http.StatusNoContent, "POST": http.StatusNotModified} {
			t.Run(fmt.Sprint(name, ", ", status), func(t *testing.T) {
				want := func(int, string) backendconntest.Answer { return backendconntest.Answer{Status: status} }
				s := backendconntest.Server{IDHeader: "Id", Framing: backendconn.FramingNone, Answer: func(r *http.Request) backendconntest.Answer {
					id := r.Header.Get("Id")
					a := backendconntest.Answer{Status: status, Header: []string{"Seal: s." + id}}
					if backendconntest.Number(id)%4 == 0 {
						a.Body = strings.ReplaceAll(behind, "ID", id)
					}
					return a
				}}
				addr := s.Start(t)
				got := s.Play(callers, requests, want, sendTo(newClient(clock.Boot{}, &fake{}, noSuspects{}), addr, method))
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

// A request whose success was lost on its way back came again. On the same connection the copy of
// its first answer was taken for the answer to its second run.
func TestCopyOfASuccessAnswersTheRepeat(t *testing.T) {
	is := is.New(t)
	addr := backendconntest.RepeatServer(t, "Id", func(id string) []string { return []string{"Seal: s." + id} })
	send := sendTo(newClient(clock.Boot{}, &fake{}, noSuspects{}), addr, "GET")
	for _, want := range []string{"run 1", "run 2", "run 3"} {
		got := send("r-1")
		is.True(got.OK)
		is.Equal(got.Body, want)
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
								IDHeader: "Id", Framing: framing, Answer: answerInOrder, Every: 4, MaxDelay: delay, Copy: form, CopyNames: true,
								Break: backendconntest.Break{Min: missing[0], Max: missing[1], Earlier: earlier},
							}
							addr := s.Start(t)
							got := s.Play(callers, requests, backendconntest.Want, sendTo(newClient(clock.Boot{}, &fake{}, noSuspects{}), addr, "GET"))
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

// Odd bytes between an answer without a length and its copy were the end of the body that the caller got.
func TestOddBytesBeforeACopyReachTheCaller(t *testing.T) {
	const callers, requests = 8, 200
	for _, odd := range []string{"\r\n", " ", "\x00", "0\r\n\r\n"} {
		for _, form := range backendconntest.Copies {
			for _, names := range []bool{true, false} {
				t.Run(fmt.Sprintf("%q, %s, names the request %t", odd, form, names), func(t *testing.T) {
					s := backendconntest.Server{
						IDHeader: "Id", Framing: backendconn.FramingClose, Answer: answerInOrder,
						Every: 4, MaxDelay: 6 * time.Millisecond, Copy: form, CopyNames: names, Odd: odd,
					}
					addr := s.Start(t)
					got := s.Play(callers, requests, backendconntest.Want, sendTo(newClient(clock.Boot{}, &fake{}, noSuspects{}), addr, "GET"))
					t.Logf("%d copies: %d of %d successes are longer", s.Copies(), got.Foreign, got.OK)
					if got.Foreign+got.WronglyRefused > 0 {
						t.Errorf("%d answers are longer, %d requests that ran are refused, e.g. %s", got.Foreign, got.WronglyRefused, got.Example)
					}
				})
			}
		}
	}
}
