package scenario

import (
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// pathState is what the network does with traffic from one host to another.
type pathState uint8

const (
	pathOpen pathState = iota
	pathCut            // drops bytes of old and new connections without a reset
	pathSlow           // delays bytes by slowPathDelay
)

// slowPathDelay is many times the latency between data centres and less than the
// time after which a daemon closes an unresponsive link.
const slowPathDelay = 120 * time.Millisecond

// path is one direction of traffic between two hosts.
type path struct{ from, to netip.Addr }

func (p path) reverse() path { return path{p.to, p.from} }

// network simulates the network between hosts: its proxies apply the state of the
// path to all traffic. The zero state is pathOpen.
type network struct {
	mu    sync.Mutex
	state map[path]pathState
	conns map[path][]*proxyConn // by the path from client to server
}

func newNetwork() *network {
	return &network{state: map[path]pathState{}, conns: map[path][]*proxyConn{}}
}

// proxyConn is one proxied TCP connection.
type proxyConn struct {
	net  *network
	path path

	// Guarded by net.mu.
	blackholed bool       // all bytes are dropped from now on
	sockets    []net.Conn // client and server side, while forwarding
}

// stateOf returns the state of one direction of the connection. A blackholed
// connection is cut.
func (c *proxyConn) stateOf(p path) pathState {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.blackholed {
		return pathCut
	}
	return c.net.state[p]
}

// set sets the state of both directions between two hosts.
func (n *network) set(a, b netip.Addr, state pathState) {
	n.setOneWay(a, b, state)
	n.setOneWay(b, a, state)
}

// setOneWay sets the state of traffic from one host to another.
func (n *network) setOneWay(from, to netip.Addr, state pathState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state[path{from, to}] = state
}

// connsBetween returns the open connections between two hosts. The caller must hold
// n.mu.
func (n *network) connsBetween(a, b netip.Addr) []*proxyConn {
	p := path{a, b}
	return slices.Concat(n.conns[p], n.conns[p.reverse()])
}

// blackhole drops all further bytes of the connections that are open between two
// hosts. New connections work.
func (n *network) blackhole(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.connsBetween(a, b) {
		c.blackholed = true
	}
}

// reset resets the connections that are open between two hosts with a TCP RST.
func (n *network) reset(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.connsBetween(a, b) {
		for _, conn := range c.sockets {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

func (n *network) newConn(p path) *proxyConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &proxyConn{net: n, path: p}
	n.conns[p] = append(n.conns[p], c)
	return c
}

// attach sets the sockets of a connection when forwarding starts.
func (c *proxyConn) attach(sockets ...net.Conn) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.sockets = sockets
}

// remove removes a closed connection from the network.
func (c *proxyConn) remove() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.conns[c.path] = slices.DeleteFunc(c.net.conns[c.path], func(other *proxyConn) bool { return other == c })
}

// proxyTCP forwards connections from address listen to address target on the given
// host. fixedSource, if valid, replaces the remote address as the source host: it is
// set for clients that do not connect from their own IP address.
func (n *network) proxyTCP(listen, target string, host netip.Addr, fixedSource netip.Addr) (io.Closer, error) {
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
			go n.forward(conn, target, n.newConn(path{source, host}))
		}
	}()
	return l, nil
}

func (n *network) forward(in net.Conn, target string, c *proxyConn) {
	defer c.remove()
	defer in.Close()
	for c.stateOf(c.path) == pathCut || c.stateOf(c.path.reverse()) == pathCut {
		// A real partitioned host would not complete the TCP handshake. The proxy
		// has accepted already, so it drops the bytes instead.
		if discardUntilClosed(in, 100*time.Millisecond) {
			return
		}
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	c.attach(in, out)
	done := make(chan struct{}, 2)
	go func() { c.copyTo(out, in, c.path); done <- struct{}{} }()
	go func() { c.copyTo(in, out, c.path.reverse()); done <- struct{}{} }()
	<-done
}

// discardUntilClosed reads and drops bytes for duration d and reports whether the
// connection was closed.
func discardUntilClosed(conn net.Conn, d time.Duration) bool {
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

// copyTo copies bytes from src to dst according to the state of p: it delays them on
// a slow path and drops them on a cut path. It returns when src is closed, but not
// while the path is cut: a partitioned peer does not see the close.
func (c *proxyConn) copyTo(dst, src net.Conn, p path) {
	buf := make([]byte, 64<<10)
	for {
		read, err := src.Read(buf)
		state := c.stateOf(p)
		if state == pathSlow {
			time.Sleep(slowPathDelay)
		}
		if read > 0 && state != pathCut {
			if _, werr := dst.Write(buf[:read]); werr != nil {
				return
			}
		}
		if err != nil {
			for c.stateOf(p) == pathCut {
				if discardUntilClosed(dst, 100*time.Millisecond) {
					return
				}
			}
			return
		}
	}
}

// proxyUDP forwards datagrams from address listen to address target on the given
// host.
func (n *network) proxyUDP(listen, target string, host netip.Addr) (io.Closer, error) {
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
			n.forwardDatagram(conn, slices.Clone(buf[:size]), to, path{from.Addr().Unmap(), host})
		}
	}()
	return conn, nil
}

func (n *network) forwardDatagram(conn *net.UDPConn, data []byte, to netip.AddrPort, p path) {
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
