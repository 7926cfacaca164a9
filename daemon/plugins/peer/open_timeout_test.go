package peer

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A daemon was busy from the moment at which a peer had not confirmed a new link in time.
func TestUnconfirmedLinkKeepsTheProcessorBusy(t *testing.T) {
	if os.Getenv(aloneEnv) == "" {
		runAlone(t)
		return
	}
	const (
		lateness = time.Second
		budget   = lateness * 15 / 1000 // processor time for control: 1.5% of a core
	)
	var runs atomic.Int64
	srv, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, srv.listener.Addr().String())
	conn, err := net.Dial("tcp", p.addr())
	if err != nil {
		t.Fatal(err)
	}
	late := &lateConn{Conn: conn, lateness: lateness, ended: make(chan struct{})}
	s, err := openSession(late, &wire.Hello{Slot: "client", ProtocolVersion: protocolVersion}, clock.Boot{}, nil, zap.NewNop(), func(*session) {})
	if err != nil {
		t.Fatal(err)
	}
	resume := p.hold()
	defer resume()
	before := processorTime(t)
	go s.controlLink()
	<-late.ended
	if took := processorTime(t) - before; took > budget {
		t.Errorf("%v of processor time in %v, more than %v", took, lateness, budget)
	}
}
