// Package logclient connects the daemon to the platform's append-only log: it
// reads the configuration and placement streams and appends records.
package logclient

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.logclient", Module: module})
	kernel.Register(kernel.Plugin{
		ID: "sesamemoor.log", Interface: settings.InterfaceNative, Module: nativeModule,
	})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newAppender,
			kernel.AsEffectHandler(func(a *appender) *appender { return a }),
		),
		fx.Invoke(startReaders, startAppender),
	)
}

func nativeModule() fx.Option {
	return fx.Provide(fx.Annotate(newLog, fx.As(new(logstream.Log))))
}

func newLog(set settings.Daemon) *logstream.HTTP { return logstream.NewHTTP(set.PlatformURL) }

const (
	appendQueue  = 4096
	appendWorker = 16
	appendWait   = 2 * time.Second
	// recordIDBytes is the length of a record's id.
	recordIDBytes = 16
)

// appender carries out Append effects.
type appender struct {
	control kernel.Control
	log     logstream.Log
	logger  *zap.Logger
	queue   chan control.Append
}

func newAppender(c kernel.Control, l logstream.Log, log *zap.Logger) *appender {
	return &appender{control: c, log: l, logger: log.Named("logclient"), queue: make(chan control.Append, appendQueue)}
}

// HandleEffect implements kernel.EffectHandler. A record that finds the queue
// full is dropped; the control state appends it again.
func (a *appender) HandleEffect(effect control.Effect) {
	e, ok := effect.(control.Append)
	if !ok {
		return
	}
	select {
	case a.queue <- e:
	default:
		a.logger.Warn("append queue full", zap.String("stream", e.Stream))
	}
}

func startAppender(lc fx.Lifecycle, a *appender) {
	kernel.Background(lc, slices.Repeat([]func(context.Context){a.run}, appendWorker)...)
}

func (a *appender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-a.queue:
			a.append(ctx, e)
		}
	}
}

func (a *appender) append(ctx context.Context, e control.Append) {
	rec := proto.CloneOf(e.Record) // the control state may send it again meanwhile
	rec.AuthorTimeMs = time.Now().UnixMilli()
	data, err := proto.Marshal(rec)
	if err != nil {
		a.logger.Error("encode record", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	_, err = a.log.Append(ctx, e.Stream, data)
	if err == nil {
		return
	}
	a.logger.Debug("append failed", zap.String("stream", e.Stream), zap.Error(err))
	if errors.Is(err, logstream.ErrRefused) && len(rec.GetId()) == recordIDBytes {
		a.control.Post(control.AppendRefused{ID: [recordIDBytes]byte(rec.GetId())})
	}
}

var _ kernel.EffectHandler = (*appender)(nil)
