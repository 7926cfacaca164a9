package scenario

import (
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// pathState is what the network does to traffic from one host to another.
type pathState uint8

const (
	pathOpen pathState = iota
	pathCut            // bytes of old and new connections vanish without a reset
	pathSlow           // bytes arrive late
)

// slowPathDelay is the delay of a slow path: many times that between data centres,
// less than the time after which a silent link is given up.
const slowPathDelay = 120 * time.Millisecond

// path is a direction between two hosts, by IP number.
type path struct{ from, to netip.Addr }

func (p path) back() path { return path{p.to, p.from} }

// network decides for each direction between two hosts what happens to traffic.
type network struct {
	mu    sync.Mutex
	state map[path]pathState
	conns map[path][]*gate // by the path on which the connection was opened
}

func newNetwork() *network {
	return &network{state: map[path]pathState{}, conns: map[path][]*gate{}}
}

// gate passes, delays or swallows the bytes of one connection.
type gate struct {
	net  *network
	path path

	// Guarded by the network's lock.
	muted bool       // bytes vanish for good
	ends  []net.Conn // while it is forwarded
}

// stateOf returns what happens to the bytes of one direction.
func (g *gate) stateOf(p path) pathState {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	if g.muted {
		return pathCut
	}
	return g.net.state[p]
}

// set changes what happens between two hosts in both directions.
func (n *network) set(a, b netip.Addr, state pathState) {
	n.setOneWay(a, b, state)
	n.setOneWay(b, a, state)
}

// setOneWay changes what happens to traffic from one host to another.
func (n *network) setOneWay(from, to netip.Addr, state pathState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state[path{from, to}] = state
}

// between returns the connections that were opened between two hosts. The caller
// holds the lock.
func (n *network) between(a, b netip.Addr) []*gate {
	p := path{a, b}
	return slices.Concat(n.conns[p], n.conns[p.back()])
}

// mute makes the connections that are open between two hosts silent for good;
// new ones work.
func (n *network) mute(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.between(a, b) {
		g.muted = true
	}
}

// reset resets the connections that are open between two hosts.
func (n *network) reset(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.between(a, b) {
		for _, conn := range g.ends {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

func (n *network) newGate(p path) *gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := &gate{net: n, path: p}
	n.conns[p] = append(n.conns[p], g)
	return g
}

// attach names the two ends of a connection that is forwarded now.
func (g *gate) attach(ends ...net.Conn) {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	g.ends = ends
}

// forget drops a connection that has ended.
func (g *gate) forget() {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	g.net.conns[g.path] = slices.DeleteFunc(g.net.conns[g.path], func(other *gate) bool { return other == g })
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
			go n.forward(conn, target, n.newGate(path{source, owner}))
		}
	}()
	return l, nil
}

func (n *network) forward(in net.Conn, target string, g *gate) {
	defer g.forget()
	defer in.Close()
	for g.stateOf(g.path) == pathCut || g.stateOf(g.path.back()) == pathCut {
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
	g.attach(in, out)
	done := make(chan struct{}, 2)
	go func() { g.copyTo(out, in, g.path); done <- struct{}{} }()
	go func() { g.copyTo(in, out, g.path.back()); done <- struct{}{} }()
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

// copyTo copies while the path is open and swallows bytes while it is cut. The end
// of a connection is not passed on while it is cut.
func (g *gate) copyTo(dst, src net.Conn, p path) {
	buf := make([]byte, 64<<10)
	for {
		read, err := src.Read(buf)
		state := g.stateOf(p)
		if state == pathSlow {
			time.Sleep(slowPathDelay)
		}
		if read > 0 && state != pathCut {
			if _, werr := dst.Write(buf[:read]); werr != nil {
				return
			}
		}
		if err != nil {
			for g.stateOf(p) == pathCut {
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
			n.passDatagram(conn, slices.Clone(buf[:size]), to, path{from.Addr().Unmap(), owner})
		}
	}()
	return conn, nil
}

func (n *network) passDatagram(conn *net.UDPConn, data []byte, to netip.AddrPort, p path) {
	n.mu.Lock()
	state := n.state[p]
	n.mu.Unlock()
	switch state {
	case pathOpen:
		_, _ = conn.WriteToUDPAddrPort(data, to)
	case pathSlow:
		time.AfterFunc(slowPathDelay, func() { _, _ = conn.WriteToUDPAddrPort(data, to) })
	}
}
