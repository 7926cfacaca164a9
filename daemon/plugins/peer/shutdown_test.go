package peer

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// lateConn is a connection whose reader is told of its end late, as in a process that is
// short of processor time.
type lateConn struct {
	net.Conn
	lateness time.Duration
	once     sync.Once
	broken   atomic.Bool // writes fail
	ended    chan struct{}
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.once.Do(func() {
			time.Sleep(c.lateness)
			close(c.ended)
		})
	}
	return n, err
}

func (c *lateConn) Write(b []byte) (int, error) {
	if c.broken.Load() {
		return 0, errors.New("connection broken")
	}
	return c.Conn.Write(b)
}

// A daemon was busy from the moment at which it closed a session until that session's
// receive loop ended: one lost peer could hold all of its requests up.
func TestClosingASessionKeepsTheProcessorBusy(t *testing.T) {
	const (
		lateness = time.Second
		budget   = lateness * 15 / 1000 // processor time for control: 1.5% of a core
	)
	if os.Getenv(aloneEnv) == "" {
		runAlone(t)
		return
	}
	for name, end := range map[string]func(*session, *lateConn){
		"closed here":  func(s *session, _ *lateConn) { s.close() },
		"write failed": func(s *session, c *lateConn) { c.broken.Store(true); s.traffic.ping() },
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			srv, _ := startTestServer(t, echo(&runs))
			conn, err := net.Dial("tcp", srv.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			late := &lateConn{Conn: conn, lateness: lateness, ended: make(chan struct{})}
			s, err := openSession(late, &wire.Hello{Slot: "client", ProtocolVersion: protocolVersion}, clock.Boot{}, nil, zap.NewNop(), func(*session) {})
			if err != nil {
				t.Fatal(err)
			}
			before := processorTime(t)
			go end(s, late)
			<-late.ended
			if took := processorTime(t) - before; took > budget {
				t.Errorf("%v of processor time in %v, more than %v", took, lateness, budget)
			}
		})
	}
}

// aloneEnv is set in a process that runs one test only.
const aloneEnv = "SESAMEMOOR_TEST_ALONE"

// runAlone runs the test in a process of its own, whose processor time no other test takes.
func runAlone(t *testing.T) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	cmd.Env = append(os.Environ(), aloneEnv+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

// processorTime returns the processor time that this process has taken.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
