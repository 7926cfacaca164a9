// Package logclient connects the daemon to the platform's append-only log: it
// reads the configuration and placement streams and appends records.
//
// Each append is attempted once. The control state repeats the append of a record,
// unless it sends the record only once, until it reads the record from the log. It is
// informed only of attempts that the log certainly did not accept.
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
	appendQueue   = 4096 // appends that wait for a worker
	appendWorkers = 16   // appends in progress at once
	appendTimeout = 2 * time.Second
	// recordIDBytes is the length of a record id.
	recordIDBytes = 16
)

// appender executes Append effects.
type appender struct {
	control kernel.Control
	log     logstream.Log
	logger  *zap.Logger
	queue   chan control.Append
}

func newAppender(c kernel.Control, l logstream.Log, log *zap.Logger) *appender {
	return &appender{control: c, log: l, logger: log.Named("logclient"), queue: make(chan control.Append, appendQueue)}
}

// HandleEffect implements kernel.EffectHandler. It drops the record if the queue
// is full; the control state repeats the append, unless it sends the record only once.
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
	kernel.Background(lc, slices.Repeat([]func(context.Context){a.run}, appendWorkers)...)
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

// append appends one record, stamped with the current time, within appendTimeout.
// It posts AppendRefused if the log certainly did not accept the record.
func (a *appender) append(ctx context.Context, e control.Append) {
	rec := proto.CloneOf(e.Record) // the control state may append it again at the same time
	rec.AuthorTimeMs = time.Now().UnixMilli()
	data, err := proto.Marshal(rec)
	if err != nil {
		a.logger.Error("cannot encode record", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
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
