package scenario

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// pathState is what the network does to traffic from one host to another.
type pathState uint8

const (
	pathOpen pathState = iota
	pathCut            // bytes of old and new connections vanish without a reset
)

// network decides for each pair of hosts, by IP number, whether traffic passes.
type network struct {
	mu    sync.Mutex
	state map[[2]netip.Addr]pathState
	conns map[[2]netip.Addr][]*gate
}

func newNetwork() *network {
	return &network{state: map[[2]netip.Addr]pathState{}, conns: map[[2]netip.Addr][]*gate{}}
}

// gate passes or swallows the bytes of one connection.
type gate struct {
	mu     sync.Mutex
	closed bool // bytes vanish
	muted  bool // bytes vanish for good
}

func (g *gate) passes() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed && !g.muted
}

// set changes what happens between two hosts in both directions.
func (n *network) set(a, b netip.Addr, state pathState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pair := range [][2]netip.Addr{{a, b}, {b, a}} {
		n.state[pair] = state
		for _, g := range n.conns[pair] {
			g.mu.Lock()
			g.closed = state == pathCut
			g.mu.Unlock()
		}
	}
}

// mute makes the connections that are open between two hosts silent for good;
// new ones work.
func (n *network) mute(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pair := range [][2]netip.Addr{{a, b}, {b, a}} {
		for _, g := range n.conns[pair] {
			g.mu.Lock()
			g.muted = true
			g.mu.Unlock()
		}
	}
}

func (n *network) open(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state[[2]netip.Addr{from, to}] == pathOpen
}

func (n *network) newGate(from, to netip.Addr) *gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := [2]netip.Addr{from, to}
	g := &gate{closed: n.state[pair] == pathCut}
	n.conns[pair] = append(n.conns[pair], g)
	return g
}

// proxyTCP forwards connections made to listen on to target, which belongs to
// the host owner. fixedSource names the calling host where its connections do
// not come from its own IP number.
func (n *network) proxyTCP(listen, target string, owner netip.Addr, fixedSource netip.Addr) (io.Closer, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			source := fixedSource
			if !source.IsValid() {
				source = conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
			}
			go n.forward(conn, target, n.newGate(source, owner))
		}
	}()
	return l, nil
}

func (n *network) forward(in net.Conn, target string, g *gate) {
	defer in.Close()
	for !g.passes() {
		// A host that is cut off does not complete the connection; a swallowed
		// one is the nearest that a proxy can do.
		if waitGone(in, 100*time.Millisecond) {
			return
		}
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	go func() { copyGated(out, in, g); done <- struct{}{} }()
	go func() { copyGated(in, out, g); done <- struct{}{} }()
	<-done
}

// waitGone swallows what arrives for the duration and reports whether the
// connection ended.
func waitGone(conn net.Conn, d time.Duration) bool {
	buf := make([]byte, 4096)
	_ = conn.SetReadDeadline(time.Now().Add(d))
	defer conn.SetReadDeadline(time.Time{})
	for {
		if _, err := conn.Read(buf); err != nil {
			netErr, ok := err.(net.Error)
			return !ok || !netErr.Timeout()
		}
	}
}

// copyGated copies while the gate passes and swallows bytes while it does not.
// The end of a connection is not passed on while the gate is shut.
func copyGated(dst, src net.Conn, g *gate) {
	buf := make([]byte, 64<<10)
	for {
		read, err := src.Read(buf)
		if read > 0 && g.passes() {
			if _, werr := dst.Write(buf[:read]); werr != nil {
				return
			}
		}
		if err != nil {
			for !g.passes() {
				if waitGone(dst, 100*time.Millisecond) {
					return
				}
			}
			return
		}
	}
}

// proxyUDP forwards datagrams sent to listen on to target of the host owner.
func (n *network) proxyUDP(listen, target string, owner netip.Addr) (io.Closer, error) {
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	go func() {
		buf := make([]byte, 2048)
		for {
			size, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			if n.open(from.Addr().Unmap(), owner) {
				_, _ = conn.WriteToUDPAddrPort(buf[:size], to)
			}
		}
	}()
	return conn, nil
}
