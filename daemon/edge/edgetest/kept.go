package edgetest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// End is what became of a request, as far as its caller can know.
type End int

const (
	// Answered: a whole answer arrived.
	Answered End = iota
	// NotConnected: no connection was accepted.
	NotConnected
	// NotRead: the connection ended before the request was read, or an earlier answer on it
	// announced the end.
	NotRead
	// ReadAndClosed: the request was read, and its connection ended without an answer.
	ReadAndClosed
	// Cut: the answer is not whole.
	Cut
	// TimedOut: no whole answer arrived in time.
	TimedOut
)

// String returns the name of the end in reports.
func (e End) String() string {
	return [...]string{"answered", "not connected", "not read", "read and closed", "cut", "timed out"}[e]
}

// Result is the end of one request.
type Result struct {
	ID     string
	End    End
	Status int // if answered
	Header http.Header
	Body   string
	SentAt time.Time
	After  time.Duration // from SentAt to the end
	Err    error         // unless answered
}

// Request is a request as a caller sends it.
type Request struct {
	ID   string
	Text string // head and body
}

// KeptCaller sends requests on one connection for as long as that is open, and connects
// again then.
type KeptCaller struct {
	Addr    string
	Timeout time.Duration // of a request
	// ResetTimeout bounds the wait for a reset behind the end of a connection, with which its
	// end and the request crossed; 0 means defaultResetTimeout.
	ResetTimeout time.Duration

	conn   *net.TCPConn
	reader *bufio.Reader
}

// Close closes the connection, if there is one.
func (c *KeptCaller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Connected reports whether the caller has a connection.
func (c *KeptCaller) Connected() bool { return c.conn != nil }

// Connect connects unless there is a connection already.
func (c *KeptCaller) Connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.Addr, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn.(*net.TCPConn), bufio.NewReader(conn)
	return nil
}

// Send sends requests in one write and reads their answers.
func (c *KeptCaller) Send(requests ...Request) []Result {
	sentAt := time.Now()
	results := make([]Result, len(requests))
	end := func(from int, e End, err error) []Result {
		c.Close()
		for i := from; i < len(requests); i++ {
			results[i] = Result{ID: requests[i].ID, End: e, SentAt: sentAt, After: time.Since(sentAt), Err: err}
		}
		return results
	}
	if err := c.Connect(); err != nil {
		return end(0, NotConnected, err)
	}
	var text strings.Builder
	for _, r := range requests {
		text.WriteString(r.Text)
	}
	_ = c.conn.SetDeadline(sentAt.Add(c.Timeout))
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return end(0, NotRead, err)
	}
	if err := c.ended(); err != nil {
		return end(0, NotRead, err)
	}
	for i, r := range requests {
		result, e, err := c.readAnswer(r)
		if err != nil {
			return end(i, e, err)
		}
		result.SentAt, result.After = sentAt, time.Since(sentAt)
		results[i] = result
		if slices.Contains(result.Header.Values("Connection"), "close") {
			return end(i+1, NotRead, errors.New("an earlier answer announced the end of the connection"))
		}
	}
	return results
}

// AwaitEnd waits until the idle connection ends and reports whether it does within timeout.
func (c *KeptCaller) AwaitEnd(timeout time.Duration) bool {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	_, err := c.reader.Peek(1)
	c.Close()
	return err != nil && !isTimeout(err)
}

// ended returns an error if the connection has ended and no answer is waiting.
func (c *KeptCaller) ended() error {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case errors.Is(recvErr, unix.EAGAIN):
		return nil
	case recvErr == nil && n == 0:
		return io.EOF
	}
	return recvErr
}

// readAnswer reads the answer to a request, or tells how it ended without one.
func (c *KeptCaller) readAnswer(r Request) (Result, End, error) {
	if _, err := c.reader.Peek(1); err != nil {
		switch {
		case isTimeout(err):
			return Result{}, TimedOut, err
		case errors.Is(err, io.EOF) && !c.resets():
			return Result{}, ReadAndClosed, err
		}
		return Result{}, NotRead, err
	}
	method, _, _ := strings.Cut(r.Text, " ")
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			if resp.Close {
				resp.Header.Set("Connection", "close")
			}
			return Result{ID: r.ID, Status: resp.StatusCode, Header: resp.Header, Body: string(body)}, Answered, nil
		}
	}
	if isTimeout(err) {
		return Result{}, TimedOut, err
	}
	return Result{}, Cut, err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// defaultResetTimeout is longer than net/http waits with the reset of a connection to which it
// has written its last answer.
const defaultResetTimeout = 600 * time.Millisecond

// resets reports whether the peer resets an ended connection: then the end and the request
// crossed, and the peer has bytes that it did not read.
func (c *KeptCaller) resets() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	timeout := c.ResetTimeout
	if timeout == 0 {
		timeout = defaultResetTimeout
	}
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		reset, unacked := false, false
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			reset = err == nil && info.State == tcpClose
			unacked = err == nil && info.Unacked > 0
		})
		if reset || time.Now().After(end) {
			return reset || unacked
		}
	}
}

// Report counts results by their end, and answers by their status.
func Report(results []Result) string {
	counts := map[string]int{}
	for _, r := range results {
		if r.End == Answered {
			counts[fmt.Sprint(r.Status)]++
		} else {
			counts[r.End.String()]++
		}
	}
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
