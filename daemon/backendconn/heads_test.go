package backendconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// exchangeOn sends a request to addr and returns the answer with its body.
func exchangeOn(client *http.Client, responses *ResponseReader, addr, id string) (head *http.Response, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, trace, err := Do(ctx, client, id, clock.Boot{}.Now().Add(time.Minute), func(ctx context.Context) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr, nil)
		if err == nil {
			req.Header.Set("Id", id)
		}
		return req, err
	})
	if err != nil {
		return nil, "", err
	}
	defer trace.Answered()
	defer resp.Body.Close()
	if marksOfID(resp).RequestID != id {
		trace.Discard()
		return nil, "", fmt.Errorf("answer to %q", marksOfID(resp).RequestID)
	}
	read, err := responses.ReadOwn(ctx, resp, trace, marksOfID)
	return resp, string(read.GetBody()), err
}

// An answer broke off in its head and the next one on the connection, its copy or that to another
// request, was the rest of it.
func TestHeadThatBrokeOffIsFilledByTheNextOne(t *testing.T) {
	is := is.New(t)
	answer := func(id string) string {
		return "HTTP/1.1 200 OK\r\nType: text\r\nId: " + id + "\r\nSeal: s." + id + "\r\nContent-Length: 8\r\n\r\nbody" + id + "\n"
	}
	own := answer("own")
	ends := strings.Index(own, "\r\n\r\n")
	for behind, next := range map[string]string{"its copy": own, "another answer": strings.ReplaceAll(answer("abc"), "200 OK", "503 No")} {
		passed, refused := 0, 0
		for cut := 1; cut < ends; cut++ {
			addr := listen(t, func(conn net.Conn) {
				defer conn.Close()
				r := bufio.NewReader(conn)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, own[:cut]+next)
				_, _ = http.ReadRequest(r) // until the client closes
			})
			var continuity Continuity
			client := &http.Client{Transport: &http.Transport{DialContext: WatchedDialer(clock.Boot{}, &continuity, false)}}
			responses := NewResponseReader()
			head, body, err := exchangeOn(client, &responses, addr, "own")
			client.CloseIdleConnections()
			if err != nil {
				refused++
				continue
			}
			passed++
			if head.StatusCode != http.StatusOK || body != "bodyown\n" || head.Header.Get("Seal") != "s.own" || len(head.Header["Seal"]) > 1 || len(head.Header["Type"]) > 1 {
				t.Errorf("cut at byte %d, %s behind: %s %v %q", cut, behind, head.Status, head.Header, body)
			}
		}
		t.Logf("%s behind: %d passed on, %d refused", behind, passed, refused)
		is.True(refused > 0)
	}
}

// The head of an order's answer broke off, and that to another order was the rest of it.
func TestHeadOfAnOrderThatBrokeOffIsFilledByTheNextOne(t *testing.T) {
	for name, next := range map[string]string{
		"named":   "HTTP/1.1 200 OK\r\nId: other\r\nHandover: b\r\nContent-Length: 0\r\n\r\n",
		"unnamed": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, value := range []string{"a", ""} {
			t.Run(name+" behind "+strconv.Quote(value), func(t *testing.T) {
				is := is.New(t)
				addr := listen(t, func(conn net.Conn) {
					defer conn.Close()
					r := bufio.NewReader(conn)
					if req, err := http.ReadRequest(r); err == nil {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nHandover: %s%s", req.Header.Get("Id"), value, next)
						_, _ = http.ReadRequest(r) // until the client closes
					}
				})
				var stutter Stutter
				client := &http.Client{Transport: Orders{IDHeader: "Id", Transport: &http.Transport{DialContext: OrderDialer(clock.Boot{}, &stutter)}}}
				_, err := client.Post("http://"+addr, "", nil)
				is.True(errors.Is(err, ErrCopy))
				is.True(stutter.Seen())
			})
		}
	}
}

// A whole head is not taken for two.
func TestWholeHeadCountsAsTwo(t *testing.T) {
	is := is.New(t)
	for _, header := range []http.Header{
		{"Id": {"own"}, "Via": {"HTTP/1.1 200 OK"}},
		{"Id": {"own", "own"}, "Set-Cookie": {"a=1", "b=2"}},
		{"Id": {"own"}, "Via": {"HTTP/1.1 a", "HTTP/1.0 b"}},
	} {
		is.True(!mergesHeads(&http.Response{Status: "200 OK", Header: header}, "own"))
	}
}
