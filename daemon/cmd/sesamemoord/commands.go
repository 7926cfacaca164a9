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

// stopTimeout bounds the stop of all plug-ins after shutdown_grace_ms. It is unused if
// bounds.grace_s is set.
const stopTimeout = 5 * time.Second

// loadSettings reads the settings file named by the only argument. It prints the error
// and returns false if that fails.
func loadSettings(f *flag.FlagSet) (settings.Daemon, bool) {
	if f.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "sesamemoord: exactly one settings file is required")
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
	if _, ok := loadSettings(f); !ok {
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
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before all else: it ends a process that does not ask for it
	set, ok := loadSettings(f)
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
	go reloadOnHangup(hangups, f.Arg(0), set, level, log)
	context.AfterFunc(ctx, stop) // restores the default action: a second signal ends the process
	if err := serve(ctx, set, log); err != nil {
		log.Error("daemon failed", zap.Error(err))
		return exitFailure
	}
	return subcommands.ExitSuccess
}

// serve runs the daemon until ctx ends. Then it hands off the daemon's shards while
// callers are still served, closes the listeners for callers, and stops.
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
	log.Info("leaving", zap.Duration("grace", times.handoff))
	signalled := time.Now()
	controller.Leave(times.handoff)
	time.Sleep(time.Until(signalled.Add(times.listen)))
	stopCtx, cancel := context.WithDeadline(context.Background(), signalled.Add(times.total))
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	log.Info("stopped")
	return nil
}

// heapShare is the fraction of the process's memory limit that is set as the limit of
// the Go runtime, near which it collects garbage more often. The rest is for stacks
// and kernel buffers.
const heapShare = 0.6

func limitMemory(set settings.Daemon) {
	if mb := set.Bounds.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(mb<<20)))
	}
}

const (
	// minListenTime is the time after SIGTERM for which a daemon behind the platform
	// still accepts callers. The platform checks readiness every second and stops
	// sending callers after two failed checks.
	minListenTime = 2300 * time.Millisecond
	// inFlightTime is the part of the grace time reserved for requests in progress
	// after the shards were handed off.
	inFlightTime = 2 * time.Second
)

// shutdownPhases are the time limits of a shutdown, each counted from its signal.
type shutdownPhases struct {
	handoff time.Duration // maximum for handing off the shards
	listen  time.Duration // minimum for which callers are accepted
	total   time.Duration // maximum until the plug-ins have stopped
}

func shutdownTimes(set settings.Daemon) shutdownPhases {
	grace := time.Duration(set.ShutdownGraceMS) * time.Millisecond
	if set.Bounds.GraceS == 0 {
		return shutdownPhases{handoff: grace, total: grace + stopTimeout}
	}
	total := set.Bounds.StopTime()
	return shutdownPhases{handoff: max(total-inFlightTime, 0), listen: min(minListenTime, total), total: total}
}

// newLogger returns a logger that writes JSON lines to standard output without
// blocking, and its level.
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
