package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// cutConn ends after a number of received bytes, by an end of file or by a reset.
type cutConn struct {
	net.Conn
	left  int // -1: never
	reset bool
}

func (c *cutConn) Read(b []byte) (int, error) {
	if c.left == 0 {
		if c.reset {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Conn.Close()
		return 0, io.EOF
	}
	if c.left > 0 && len(b) > c.left {
		b = b[:c.left]
	}
	n, err := c.Conn.Read(b)
	if c.left > 0 {
		c.left -= n
	}
	return n, err
}

// dialCut opens a session with a server whose answers are cut after a number of bytes.
func dialCut(t *testing.T, addr string, left int, reset bool, log *zap.Logger) (*session, error) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	hello := &wire.Hello{Slot: "client", ProtocolVersion: protocolVersion}
	s, err := openSession(&cutConn{conn, left, reset}, hello, clock.Boot{}, nil, log, func(*session) {})
	if err == nil {
		t.Cleanup(s.close)
	}
	return s, err
}

// An answer that was cut on its way between daemons left no line with its request's id.
func TestAnswerThatIsCutOnItsLinkHasALineAtBothDaemons(t *testing.T) {
	is := is.New(t)
	const size, cut = 8 << 20, 64 << 10 // more than the windows of link and connection
	body := bytes.Repeat([]byte("a"), size)
	srv, serverLogs := startTestServer(t, handlerFunc(func(context.Context, *wire.Request) *wire.Response {
		return &wire.Response{Kind: uint32(outcome.OK), Body: body, BodyLength: size}
	}))
	core, logs := observer.New(zap.InfoLevel)
	s, err := dialCut(t, srv.listener.Addr().String(), cut, true, zap.New(core))
	is.NoErr(err)
	_, err = s.traffic.call(within(t, 10*time.Second), &wire.Frame{Body: &wire.Frame_Request{Request: &wire.Request{RequestId: "r-1", Attempt: 2}}})
	is.Equal(outcome.KindOf(err), outcome.ConnectionLost)
	lost := logs.FilterMessage("answer lost with its link").All()
	is.Equal(len(lost), 1)
	fields := lost[0].ContextMap()
	is.Equal(fields["request_id"], "r-1")
	is.Equal(fields["attempt"], uint32(2))
	is.Equal(fields["outcome"], "connection_lost")
	is.Equal(fields["peer"], srv.listener.Addr().String())
	is.True(fields["frame_bytes"].(int64) > size)
	is.True(fields["frame_received"].(int64) > 0)
	is.True(fields["frame_received"].(int64) < cut)
	is.Equal(fields["end"], "read: EOF")
	var unwritten []observer.LoggedEntry
	for range 500 {
		if unwritten = serverLogs.FilterMessage("answer not passed on").All(); len(unwritten) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(len(unwritten), 1)
	fields = unwritten[0].ContextMap()
	is.Equal(fields["request_id"], "r-1")
	is.Equal(fields["body_bytes"], int64(size))
	is.Equal(fields["outcome"], "ok")
}

func TestPartOfAFrameNamesItsCall(t *testing.T) {
	is := is.New(t)
	data := encoded(t, &wire.Frame{Id: 300, Tag: 7, Body: &wire.Frame_Response{Response: &wire.Response{Body: []byte("body")}}})
	n := int(binary.BigEndian.Uint32(data))
	for cut := lengthBytes; cut < len(data); cut++ {
		r := newFrameReader(bytes.NewReader(data[:cut]))
		_, _, err := r.next()
		is.True(err != nil)
		want := partialFrame{length: n, received: cut - lengthBytes}
		if want.received >= 3 { // field number and two bytes of the id
			want.id = 300
		}
		is.Equal(r.part, want)
	}
}
