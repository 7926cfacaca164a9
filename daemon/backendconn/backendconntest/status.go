package backendconntest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// InvalidStatuses are statuses that are not those of a final response.
var InvalidStatuses = []string{"000", "001", "042", "099", "100", "101", "103", "150", "199", "600", "700", "999", "+20"}

// StatusServer starts a server for the duration of a test that answers each request with a status,
// as it is written, and the lines that head returns. It keeps the connections.
func StatusServer(t testing.TB, status string, head func(*http.Request) []string) (addr string) {
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
			go answerStatus(conn, status, head)
		}
	}()
	return listener.Addr().String()
}

func answerStatus(conn net.Conn, status string, head func(*http.Request) []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 %s Status\r\n", status)
		for _, line := range head(req) {
			answer += line + "\r\n"
		}
		if _, err := io.WriteString(conn, answer+"Content-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}
