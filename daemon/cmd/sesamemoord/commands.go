package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/logsink"
)

// Exit codes.
const (
	exitFailure  = subcommands.ExitStatus(1)
	exitSettings = subcommands.ExitStatus(2)
)

// stopTimeout bounds the stop of all plug-ins after the grace time.
const stopTimeout = 5 * time.Second

// loadArg reads the settings file named by the only argument.
func loadArg(f *flag.FlagSet) (settings.Daemon, bool) {
	if f.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "sesamemoord: one settings file is required")
		return settings.Daemon{}, false
	}
	set, err := settings.LoadDaemon(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sesamemoord:", err)
		return settings.Daemon{}, false
	}
	return set, true
}

type checkCommand struct{}

func (*checkCommand) Name() string           { return "check" }
func (*checkCommand) Synopsis() string       { return "check a settings file" }
func (*checkCommand) Usage() string          { return "check FILE:\n  Check the settings in FILE and exit.\n" }
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, ok := loadArg(f); !ok {
		return exitSettings
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

type runCommand struct{}

func (*runCommand) Name() string           { return "run" }
func (*runCommand) Synopsis() string       { return "run the daemon" }
func (*runCommand) Usage() string          { return "run FILE:\n  Run the daemon with the settings in FILE.\n" }
func (*runCommand) SetFlags(*flag.FlagSet) {}

func (*runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set, ok := loadArg(f)
	if !ok {
		return exitSettings
	}
	log, level, err := newLogger(set)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sesamemoord:", err)
		return exitSettings
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloads(f.Arg(0), set, level, log)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	if err := serve(ctx, set, log); err != nil {
		log.Error("daemon failed", zap.Error(err))
		return exitFailure
	}
	return subcommands.ExitSuccess
}

// serve runs the daemon until ctx ends. Then it hands over its shards while it
// still serves callers, takes callers off, and stops.
func serve(ctx context.Context, set settings.Daemon, log *zap.Logger) error {
	limitMemory(set)
	var controller *kernel.Controller
	app := fx.New(
		kernel.Core(set, log),
		kernel.Modules(set.Interface),
		fx.Populate(&controller),
		fx.WithLogger(func() fxevent.Logger {
			l := &fxevent.ZapLogger{Logger: log.Named("fx")}
			l.UseLogLevel(zapcore.DebugLevel)
			return l
		}),
	)
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	log.Info("started", zap.Strings("plugins", kernel.Plugins()))
	<-ctx.Done()
	times := shutdownTimes(set)
	log.Info("leaving", zap.Duration("grace", times.leave))
	signalled := time.Now()
	controller.Leave(times.leave)
	time.Sleep(time.Until(signalled.Add(times.listen)))
	stopCtx, cancel := context.WithDeadline(context.Background(), signalled.Add(times.whole))
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	log.Info("stopped")
	return nil
}

// heapShare is the part of the process's memory that the heap may take before it
// is collected more often; the rest is for stacks and buffers of the kernel.
const heapShare = 0.6

func limitMemory(set settings.Daemon) {
	if mb := set.Bounds.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(mb<<20)))
	}
}

const (
	// listenTime is the time for which callers are still taken in on SIGTERM where
	// a platform sends them: it asks each second whether the daemon is ready and
	// stops sending after two refusals.
	listenTime = 2300 * time.Millisecond
	// killMargin is the part of the time until the kill that is left unused.
	killMargin = 400 * time.Millisecond
	// finishTime is the part of the grace time kept for requests in progress
	// after the shards were handed over.
	finishTime = 2 * time.Second
)

// stopTimes are the parts of a shutdown, counted from its signal.
type stopTimes struct {
	leave  time.Duration // for handing over the shards
	listen time.Duration // callers are taken in at least that long
	whole  time.Duration
}

func shutdownTimes(set settings.Daemon) stopTimes {
	grace := time.Duration(set.ShutdownGraceMS) * time.Millisecond
	if set.Bounds.GraceS == 0 {
		return stopTimes{leave: grace, whole: grace + stopTimeout}
	}
	whole := time.Duration(set.Bounds.GraceS*float64(time.Second)) - killMargin
	return stopTimes{leave: max(whole-finishTime, 0), listen: min(listenTime, whole), whole: whole}
}

// newLogger returns a logger of JSON lines on standard output that never blocks,
// and its level.
func newLogger(set settings.Daemon) (*zap.Logger, zap.AtomicLevel, error) {
	level, err := zap.ParseAtomicLevel(set.LogLevel)
	if err != nil {
		return nil, level, fmt.Errorf("log level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := logsink.Limit(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), logsink.New(os.Stdout), level))
	log := zap.New(core, zap.AddStacktrace(zapcore.PanicLevel))
	return log.With(zap.String("slot", set.Slot), zap.String("data_centre", set.DataCentre)), level, nil
}
