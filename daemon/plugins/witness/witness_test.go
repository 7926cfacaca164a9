package witness

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// fakeControl is a control state that collects the events posted to it.
type fakeControl struct{ events chan control.Event }

func (f fakeControl) Post(ev control.Event) { f.events <- ev }
func (f fakeControl) View() *view.View      { return nil }

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func renewal() *wire.Datagram {
	return &wire.Datagram{From: "busan-a-07", Body: &wire.Datagram_Renew{
		Renew: &wire.Renew{Incarnation: 90_000_000, Seq: 2_000_000}}}
}

func TestDatagramArrives(t *testing.T) {
	is := is.New(t)
	a := newSocketOn(listen(t), zap.NewNop())
	b := newSocketOn(listen(t), zap.NewNop())
	got := fakeControl{events: make(chan control.Event, 1)}
	go b.receive(got)
	go a.send()
	defer close(a.stop)
	_, err := a.conn.WriteToUDPAddrPort([]byte("not a message"), b.conn.LocalAddr().(*net.UDPAddr).AddrPort())
	is.NoErr(err) // malformed, must be skipped
	a.HandleEffect(control.SendDatagram{Addr: b.conn.LocalAddr().String(), Msg: renewal()})
	select {
	case ev := <-got.events:
		is.True(proto.Equal(ev.(control.Datagram).Msg, renewal()))
	case <-time.After(5 * time.Second):
		t.Fatal("no datagram within 5 s")
	}
}

// TestFullSendQueueDoesNotBlock checks that effects do not block on the full queue of a
// socket that does not send.
func TestFullSendQueueDoesNotBlock(t *testing.T) {
	is := is.New(t)
	s := newSocketOn(listen(t), zap.NewNop())
	for range 2 * sendQueue {
		s.HandleEffect(control.SendDatagram{Addr: "127.0.0.1:9", Msg: renewal()})
	}
	is.Equal(len(s.out), sendQueue)
}

// TestLeaseTrafficWithinBudget computes the lease traffic of a daemon with three
// witnesses that is itself a witness of three, headers included.
func TestLeaseTrafficWithinBudget(t *testing.T) {
	const (
		headers       = 20 + 8 // IPv4 and UDP, bytes
		renewsASecond = 2.5
		witnesses     = 3
		budget        = 3000 // bytes/s for all control traffic
	)
	ack := &wire.Datagram{From: "busan-a-07", Body: &wire.Datagram_RenewAck{
		RenewAck: &wire.RenewAck{Incarnation: 90_000_000, Seq: 2_000_000}}}
	renewBytes := proto.Size(renewal()) + headers
	ackBytes := proto.Size(ack) + headers
	// Each role has both renewals and acknowledgements, one sent and one received.
	perSecond := 2 * renewsASecond * witnesses * float64(renewBytes+ackBytes)
	t.Logf("renewal %d B, acknowledgement %d B, both roles %.0f B/s sent and received", renewBytes, ackBytes, perSecond)
	if perSecond > budget/1.8 {
		t.Errorf("lease traffic of %.0f B/s leaves too little of %d B/s", perSecond, budget)
	}
}
