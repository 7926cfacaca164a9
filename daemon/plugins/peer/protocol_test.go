package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

func encoded(t testing.TB, frames ...*wire.Frame) []byte {
	t.Helper()
	var all []byte
	for _, f := range frames {
		data, err := encode(f)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, *data...)
	}
	return all
}

func hello(version uint32) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Slot: "x", ProtocolVersion: version}}}
}

func TestMalformedFrameClosesLink(t *testing.T) {
	var runs atomic.Int64
	block := handlerFunc(func(ctx context.Context, _ *wire.Request) *wire.Response {
		runs.Add(1)
		<-ctx.Done()
		return &wire.Response{}
	})
	one := &wire.Frame{Id: 1, Body: &wire.Frame_Request{Request: &wire.Request{Method: "GET"}}}
	oversized := binary.BigEndian.AppendUint32(encoded(t, hello(protocolVersion)), maxFrameBytes+1)
	garbage := append(encoded(t, hello(protocolVersion)), 0, 0, 0, 3, 0xff, 0xff, 0xff)
	cases := []struct {
		name string
		data []byte
	}{
		{"no hello", encoded(t, one)},
		{"other version", encoded(t, hello(protocolVersion+1))},
		{"oversized", oversized},
		{"garbage", garbage},
		{"no body", encoded(t, hello(protocolVersion), &wire.Frame{Id: 7})},
		{"repeated id", encoded(t, hello(protocolVersion), one, one)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, logs := startTestServer(t, block)
			conn, err := net.Dial("tcp", s.listener.Addr().String())
			is.NoErr(err)
			mux, err := yamux.Client(conn, yamuxConfig())
			is.NoErr(err)
			defer mux.Close()
			stream, err := mux.Open()
			is.NoErr(err)
			_, err = stream.Write(c.data)
			is.NoErr(err)
			is.NoErr(stream.SetReadDeadline(time.Now().Add(10 * time.Second)))
			_, err = io.Copy(io.Discard, stream) // until the server closes the link
			is.NoErr(err)
			is.Equal(logs.FilterField(zap.Stringer("kind", outcome.Malformed)).Len(), 1)
		})
	}
}

// A frame with a large length but few bytes must not allocate memory for the
// whole length.
func TestFrameLengthIsNotPreallocated(t *testing.T) {
	is := is.New(t)
	data := binary.BigEndian.AppendUint32(nil, maxFrameBytes)
	data = append(data, make([]byte, 1000)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const frames = 100
	for range frames {
		_, _, err := newFrameReader(bytes.NewReader(data)).next()
		is.Equal(err, io.ErrUnexpectedEOF)
	}
	runtime.ReadMemStats(&after)
	perFrame := (after.TotalAlloc - before.TotalAlloc) / frames
	is.True(perFrame < 4*(readChunk+readBuffer))
}

// swappingPeer starts a peer that answers the first two requests of each link
// with swapped ids, and with swapped tags too if swapTags is set.
func swappingPeer(t *testing.T, swapTags bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		mux, err := yamux.Server(conn, yamuxConfig())
		if err != nil {
			return
		}
		defer mux.Close()
		for {
			stream, err := mux.Accept()
			if err != nil {
				return
			}
			go swapAnswers(t, stream, swapTags)
		}
	}()
	return listener.Addr().String()
}

func swapAnswers(t *testing.T, stream net.Conn, swapTags bool) {
	r := newFrameReader(stream)
	if _, _, err := r.next(); err != nil {
		return
	}
	_, _ = stream.Write(encoded(t, hello(protocolVersion)))
	var pair []*wire.Frame
	for len(pair) < 2 {
		f, _, err := r.next()
		if err != nil {
			return
		}
		if f.GetRequest() != nil {
			pair = append(pair, f)
		}
	}
	for i, f := range pair {
		other := pair[1-i]
		tag := f.GetTag()
		if swapTags {
			tag = other.GetTag()
		}
		body := &wire.Frame_Response{Response: &wire.Response{Body: f.GetRequest().GetBody()}}
		_, _ = stream.Write(encoded(t, &wire.Frame{Id: other.GetId(), Tag: tag, Body: body}))
	}
}

func TestAnswerWithWrongTagIsNotDelivered(t *testing.T) {
	run := func(swapTags bool) (wrong, failed int) {
		addr := swappingPeer(t, swapTags)
		n := startTestNetwork(t, clock.Boot{})
		type result struct {
			want string
			got  *wire.Frame
			err  error
		}
		done := make(chan result, 2)
		for _, want := range []string{"a", "b"} {
			go func() {
				got, err := n.Call(within(t, 10*time.Second), addr, request(want, true))
				done <- result{want, got, err}
			}()
		}
		for range 2 {
			r := <-done
			switch {
			case r.err != nil:
				failed++
			case string(r.got.GetResponse().GetBody()) != r.want:
				wrong++
			}
		}
		return wrong, failed
	}
	is := is.New(t)
	wrong, failed := run(false)
	is.Equal(wrong, 0)
	is.Equal(failed, 2)
	// Control case: with the tags swapped too, the swap goes undetected, so the
	// check above can fail.
	wrong, _ = run(true)
	is.Equal(wrong, 2)
}

func FuzzServerLink(f *testing.F) {
	helloBytes := encoded(f, hello(protocolVersion))
	req := &wire.Frame{Id: 1, DeadlineUs: 1 << 60, Body: &wire.Frame_Request{Request: &wire.Request{Body: []byte("b")}}}
	f.Add(helloBytes)
	f.Add(append(bytes.Clone(helloBytes), encoded(f, req, req)...))
	f.Add(append(bytes.Clone(helloBytes), 0, 0, 0, 2, 8, 1))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	var runs atomic.Int64
	s, _ := startTestServer(f, echo(&runs))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() {
			newServerLink(s, far, "fuzz").run()
			close(done)
		}()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_, _ = near.Write(data)
		_ = near.Close()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("the link did not end")
		}
	})
}

func FuzzFrameReader(f *testing.F) {
	f.Add(encoded(f, hello(1)))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newFrameReader(bytes.NewReader(data))
		for {
			frame, size, err := r.next()
			if err != nil {
				return
			}
			if size > len(data) || frame == nil {
				t.Fatalf("frame %v of %d bytes from %d", frame, size, len(data))
			}
		}
	})
}

// Bytes without end that are no session, no hello or no frame must not be kept,
// whichever side dialled: few of them are read.
func TestEndlessBytesOnALink(t *testing.T) {
	filler := bytes.Repeat([]byte("x"), 16<<10)
	// flood writes filler until the other side closes, or takes no more for a second, and
	// returns the number of bytes.
	flood := func(w net.Conn) (sent int) {
		for {
			_ = w.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := w.Write(filler)
			sent += n
			if err != nil {
				return sent
			}
		}
	}
	const mostBytes = 16 << 20 // one frame, and what the kernel takes
	greet := encoded(t, hello(protocolVersion))
	for name, start := range map[string][]byte{
		"no hello":        {},
		"short frames":    append(bytes.Clone(greet), 0, 0, 0, 3),
		"the longest one": binary.BigEndian.AppendUint32(bytes.Clone(greet), maxFrameBytes),
	} {
		t.Run("as the client, "+name, func(t *testing.T) {
			is := is.New(t)
			s, _ := startTestServer(t, echo(new(atomic.Int64)))
			conn, err := net.Dial("tcp", s.listener.Addr().String())
			is.NoErr(err)
			mux, err := yamux.Client(conn, yamuxConfig())
			is.NoErr(err)
			defer mux.Close()
			stream, err := mux.Open()
			is.NoErr(err)
			_, err = stream.Write(start)
			is.NoErr(err)
			is.True(flood(stream) < mostBytes)
		})
		t.Run("as the server, "+name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			sent := make(chan int, 10)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						mux, err := yamux.Server(conn, yamuxConfig())
						if err != nil {
							return
						}
						defer mux.Close()
						stream, err := mux.Accept()
						if err != nil {
							return
						}
						_, _ = stream.Write(start)
						sent <- flood(stream)
					}()
				}
			}()
			n := startTestNetwork(t, clock.Boot{})
			_, err = n.Call(within(t, lossBound), listener.Addr().String(), request("a", true))
			is.True(err != nil)
			is.True(<-sent < mostBytes)
		})
	}
	t.Run("no session", func(t *testing.T) {
		is := is.New(t)
		s, _ := startTestServer(t, echo(new(atomic.Int64)))
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		is.True(flood(conn) < mostBytes)
	})
}
