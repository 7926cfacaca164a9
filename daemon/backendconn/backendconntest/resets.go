package backendconntest

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// ResetServer starts a server for the duration of a test and returns its address. It answers POST
// with the head that answerHead returns and a part of a body, does not read the body of the
// request, and resets the connection soon after. It answers GET whole with a head that getHead
// returns, and grants on a connection that it closes.
func ResetServer(t testing.TB, answerHead, getHead func(*http.Request) []string) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveResets(conn.(*net.TCPConn), answerHead, getHead)
		}
	}()
	return listener.Addr().String()
}

func serveResets(conn *net.TCPConn, answerHead, getHead func(*http.Request) []string) {
	defer conn.Close()
	_ = conn.SetReadBuffer(4 << 10)
	r := bufio.NewReaderSize(conn, 512)
	write := func(head []string, body string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+strings.Join(head, "\r\n")+"\r\n\r\n"+body)
	}
	for {
		req, err := http.ReadRequest(r)
		switch {
		case err != nil:
			return
		case strings.HasSuffix(req.URL.Path, "grant"):
			write([]string{"Connection: close", "Content-Length: 0"}, "")
			return
		case req.Method == http.MethodGet:
			write(append(getHead(req), "Content-Length: 0"), "")
		default:
			write(answerHead(req), "6\r\na part\r\n") // a chunk, if the head says so
			time.Sleep(rand.N(500 * time.Microsecond))
			_ = conn.SetLinger(0)
			return
		}
	}
}
