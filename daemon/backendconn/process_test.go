package backendconn

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/liveness"
)

// Requests that dialled a process that had ended kept it from counting as ended. A connection that was
// being opened before the first refusal may lead to a process that has only closed its listener.
func TestDialsAfterARefusalKeepAProcessAlive(t *testing.T) {
	is := is.New(t)
	ps := NewProcesses()
	results := make(chan error)
	dial := ps.Track(func(context.Context, string, string) (net.Conn, error) { return nil, <-results })
	begin := func(n int) (done chan struct{}) {
		done = make(chan struct{}, n)
		for range n {
			go func() { _, _ = dial(t.Context(), "", ""); done <- struct{}{} }()
		}
		return done
	}
	p := ps.Current()
	early := begin(2)
	for p.openConns() < 2 {
		continue
	}
	results <- syscall.ECONNREFUSED
	<-early
	is.True(!p.Ended()) // the other dial may succeed
	results <- syscall.ECONNREFUSED
	<-early
	late := begin(3)
	is.True(p.Ended())
	p.Observe(liveness.LeaveNotice)
	is.True(!p.Ended())
	for range 3 {
		results <- syscall.ECONNREFUSED
		<-late
	}
	is.Equal(p.openConns(), 0)
}

// openConns returns the number of connections that count as open.
func (p *Process) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
