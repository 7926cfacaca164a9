// Package witness carries the datagrams of the witness protocol over UDP.
package witness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

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

// maxDatagram bounds a witness message in bytes.
const maxDatagram = 1200

// socket sends and receives witness messages.
type socket struct {
	conn *net.UDPConn
	log  *zap.Logger
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
	return &socket{conn: conn, log: log.Named("witness")}, nil
}

// HandleEffect implements kernel.EffectHandler.
func (s *socket) HandleEffect(effect control.Effect) {
	e, ok := effect.(control.SendDatagram)
	if !ok {
		return
	}
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		s.log.Warn("witness address", zap.String("addr", e.Addr), zap.Error(err))
		return
	}
	data, err := proto.Marshal(e.Msg)
	if err != nil {
		s.log.Error("encode datagram", zap.Error(err))
		return
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
	if _, err := s.conn.WriteToUDPAddrPort(data, addr); err != nil {
		s.log.Debug("send datagram", zap.Error(err))
	}
}

func start(lc fx.Lifecycle, s *socket, c kernel.Control) {
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				s.receive(c)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			err := s.conn.Close()
			<-done
			return err
		},
	})
}

func (s *socket) receive(c kernel.Control) {
	buf := make([]byte, maxDatagram)
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
