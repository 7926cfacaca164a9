package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
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

// The emulated server could not break off an answer, or write one without a length.
func TestCuttingServerWritesWholeAnswers(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t, Options{Slots: 1})
	answer := func(f Faults) (text string, err error) {
		s.SetFaults(f)
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
		_, err = fmt.Fprintf(conn, "GET /s/k HTTP/1.1\r\nHost: a\r\n%s: r-1\r\nConnection: close\r\n\r\n", headerRequestID)
		is.NoErr(err)
		data, err := io.ReadAll(conn)
		return string(data), err
	}
	const body = "b1 GET /s/k 0 r-1"
	whole, err := answer(Faults{UnframedEvery: 1})
	is.NoErr(err)
	is.True(!strings.Contains(whole, "Content-Length") && strings.HasSuffix(whole, "\r\n\r\n"+body))
	twice, err := answer(Faults{UnframedEvery: 1, StutterEvery: 1})
	is.NoErr(err)
	is.Equal(strings.Count(twice, body), 2)
	var resets, copies int
	for range 4 {
		text, err := answer(Faults{UnframedEvery: 1, CutEvery: 1})
		switch {
		case errors.Is(err, syscall.ECONNRESET):
			resets++
			is.True(!strings.Contains(text, body))
		case strings.Count(text, "HTTP/1.1 200 OK") == 2:
			copies++
			is.Equal(strings.Count(text, body), 1)
			is.True(strings.HasSuffix(text, body))
		}
	}
	is.Equal(resets, 2)
	is.Equal(copies, 2)
}
