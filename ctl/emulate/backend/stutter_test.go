package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The emulated server could not write an answer a second time on its connection.
func TestStutteringServerAnswersOnce(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t, Options{Slots: 1})
	s.SetFaults(Faults{StutterEvery: 2, StutterMS: 1})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	r := bufio.NewReader(conn)
	read := func() (id, body string) {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp.Header.Get(headerRequestID), string(data)
	}
	for n := 1; n <= 4; n++ {
		sent := fmt.Sprint("r-", n)
		_, err = fmt.Fprintf(conn, "GET /s/k HTTP/1.1\r\nHost: a\r\n%s: %s\r\n\r\n", headerRequestID, sent)
		is.NoErr(err)
		id, body := read()
		is.Equal(id, sent)
		if n%2 == 0 {
			copied, same := read()
			is.Equal(copied, sent)
			is.Equal(same, body)
		}
	}
}
