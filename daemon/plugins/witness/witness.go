// Package witness sends and receives the datagrams of the witness protocol over
// UDP. It may lose datagrams; it never blocks the control state.
package witness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"go.uber.org/fx"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.witness", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(newSocket, kernel.AsEffectHandler(func(s *socket) *socket { return s })),
		fx.Invoke(start),
	)
}

// maxDatagramBytes bounds a received witness message. Longer ones are truncated.
const maxDatagramBytes = 1200

// sendQueue is the capacity of the queue of datagrams to send. Further ones are
// dropped, as the network may do; the protocol repeats those that matter.
const sendQueue = 512

// socket sends and receives witness messages.
type socket struct {
	conn *net.UDPConn
	log  *zap.Logger
	out  chan control.SendDatagram
	stop chan struct{}
}

func newSocket(set settings.Daemon, log *zap.Logger) (*socket, error) {
	addr, err := net.ResolveUDPAddr("udp", set.WitnessAddr)
	if err != nil {
		return nil, fmt.Errorf("witness: address %q: %w", set.WitnessAddr, err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("witness: %w", err)
	}
	return newSocketOn(conn, log), nil
}

func newSocketOn(conn *net.UDPConn, log *zap.Logger) *socket {
	return &socket{
		conn: conn,
		log:  log.Named("witness"),
		out:  make(chan control.SendDatagram, sendQueue),
		stop: make(chan struct{}),
	}
}

// HandleEffect implements kernel.EffectHandler. It never blocks on the socket.
func (s *socket) HandleEffect(effect control.Effect) {
	e, ok := effect.(control.SendDatagram)
	if !ok {
		return
	}
	select {
	case s.out <- e:
	default:
		s.log.Debug("datagram dropped: send queue is full", zap.String("addr", e.Addr))
	}
}

// send writes queued datagrams until the socket stops.
func (s *socket) send() {
	for {
		select {
		case e := <-s.out:
			s.write(e)
		case <-s.stop:
			return
		}
	}
}

func (s *socket) write(e control.SendDatagram) {
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		s.log.Warn("invalid witness address", zap.String("addr", e.Addr), zap.Error(err))
		return
	}
	data, err := proto.Marshal(e.Msg)
	if err != nil {
		s.log.Error("cannot encode datagram", zap.Error(err))
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, addr); err != nil {
		s.log.Debug("cannot send datagram", zap.Error(err))
	}
}

func start(lc fx.Lifecycle, s *socket, c kernel.Control) {
	var tasks sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			tasks.Go(func() { s.receive(c) })
			tasks.Go(s.send)
			return nil
		},
		OnStop: func(context.Context) error {
			close(s.stop)
			err := s.conn.Close()
			tasks.Wait()
			return err
		},
	})
}

// receive posts received datagrams to the control state until the socket is
// closed.
func (s *socket) receive(c kernel.Control) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		msg := new(wire.Datagram)
		if err := proto.Unmarshal(buf[:n], msg); err != nil {
			s.log.Warn("malformed datagram", zap.Error(err))
			continue
		}
		c.Post(control.Datagram{Msg: msg})
	}
}

var _ kernel.EffectHandler = (*socket)(nil)
