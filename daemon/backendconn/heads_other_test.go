package backendconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// answerOnce starts a server that writes text instead of its answer to each first request.
func answerOnce(t *testing.T, text string) (addr string) {
	return listen(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(conn, text)
			_, _ = http.ReadRequest(r) // until the client closes
		}
	})
}

// A server broke off in the head of an answer and then gave up the connection, with an answer that names no
// request and has other fields. Callers got the status of the first and the body of the second.
func TestHeadThatBrokeOffIsFilledByAnUnnamedOne(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s.own\r\n"
	for name, next := range map[string]string{
		"timeout":     "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		"bad request": "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 5\r\n\r\nsorry",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := len(own) - len("own\r\n"); cut < len(own); cut++ {
				addr := answerOnce(t, own[:cut]+next)
				var continuity Continuity
				client := &http.Client{Transport: &http.Transport{DialContext: WatchedDialer(clock.Boot{}, &continuity, false)}}
				responses := NewResponseReader()
				head, body, err := exchangeOn(client, &responses, addr, "own")
				client.CloseIdleConnections()
				if err == nil {
					t.Errorf("cut at byte %d: %s %v %q", cut, head.Status, head.Header, body)
				}
			}
		})
	}
}

// A whole answer was taken for two because a field other than the name of its request has its id and
// another one.
func TestFieldWithSeveralIDsCountsAsTwoHeads(t *testing.T) {
	is := is.New(t)
	addr := answerOnce(t, "HTTP/1.1 200 OK\r\nId: own\r\nCaused-By: parent\r\nCaused-By: own\r\nContent-Length: 4\r\n\r\nbody")
	var continuity Continuity
	client := &http.Client{Transport: &http.Transport{DialContext: WatchedDialer(clock.Boot{}, &continuity, false)}}
	defer client.CloseIdleConnections()
	responses := NewResponseReader()
	_, body, err := exchangeOn(client, &responses, addr, "own")
	is.NoErr(err)
	is.Equal(body, "body")
}

// A field may quote a status line.
func TestQuotedStatusLineCountsAsTwoHeads(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"HTTP/1.1 200 OK", `214 - "HTTP/1.1 200 OK"`, "upstream=HTTP/1.1 502 Bad Gateway", "\u201cHTTP/1.1 200 OK\u201d", "seen HTTP/1.1 200"} {
		is.True(!mergesHeads(&http.Response{Status: "200 OK", Header: http.Header{"Id": {"own"}, "Warning": {value}}}, "own"))
	}
}

// What the heads of a merged one have in common is only the name of the request, or nothing but the
// status line.
func TestHeadThatBrokeOffBehindASeparatorIsFilled(t *testing.T) {
	for name, text := range map[string]string{
		"another request's": "HTTP/1.1 200 OK\r\nId: own\r\nSeal: HTTP/1.1 503 No\r\nId: abc\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"own, later status": "HTTP/1.1 200 OHTTP/1.1 500 Failed\r\nId: own\r\nContent-Length: 5\r\n\r\nsorry",
	} {
		t.Run(name, func(t *testing.T) {
			var continuity Continuity
			client := &http.Client{Transport: &http.Transport{DialContext: WatchedDialer(clock.Boot{}, &continuity, false)}}
			defer client.CloseIdleConnections()
			responses := NewResponseReader()
			head, body, err := exchangeOn(client, &responses, answerOnce(t, text), "own")
			if err == nil {
				t.Errorf("%s %v %q", head.Status, head.Header, body)
			}
		})
	}
}
