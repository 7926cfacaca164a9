package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/sesamemoor/sesamemoor/ctl/emulate/backend"
	"github.com/sesamemoor/sesamemoor/ctl/emulate/platform"
)

func emulateCommands() []subcommands.Command {
	return []subcommands.Command{&emulatePlatformCommand{}, &emulateBackendCommand{}}
}

// emulatePlatformCommand runs an emulator of the platform's log.
type emulatePlatformCommand struct {
	listen    string
	retention platform.Retention
	faults    platform.Faults
	outage    string
}

func (*emulatePlatformCommand) Name() string     { return "platform" }
func (*emulatePlatformCommand) Synopsis() string { return "run an emulator of the platform's log" }
func (*emulatePlatformCommand) Usage() string {
	return "platform -listen ADDR[,ADDR...] [FLAGS]:\n  Run an in-memory log; PUT /admin/faults sets its faults.\n"
}

func (c *emulatePlatformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "addresses to listen on, separated by commas")
	f.IntVar(&c.retention.Records, "keep-records", 0, "records kept in each stream; 0 keeps all")
	f.DurationVar(&c.retention.Age, "keep-time", 0, "time for which records are kept; 0 keeps all")
	f.StringVar(&c.outage, "outage", "", "outage from the start: error, refuse or hang")
	f.Int64Var(&c.faults.DelayMS, "delay-ms", 0, "milliseconds added to each request")
	f.IntVar(&c.faults.LoseResponses, "lose-answers", 0, "number of first appends whose answers are lost")
	f.Float64Var(&c.faults.MaxAppendsPerSecond, "max-append-rps", 0, "appends per second; 0 means no limit")
}

func (c *emulatePlatformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.faults.Outage = platform.Outage(c.outage)
	log := platform.NewWithRetention(c.retention)
	if err := log.SetFaults(c.faults); err != nil {
		return finish(fmt.Errorf("%w: %w", errUsage, err))
	}
	return finish(serveAll(ctx, strings.Split(c.listen, ","), log.Handler()))
}

// serveAll serves h on all addresses until ctx ends or a server fails.
func serveAll(ctx context.Context, addrs []string, h http.Handler) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, addr := range addrs {
		srv := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 5 * time.Second}
		group.Go(func() error {
			err := srv.ListenAndServe()
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return err
		})
		group.Go(func() error {
			<-ctx.Done()
			return srv.Close()
		})
	}
	return group.Wait()
}

// emulateBackendCommand runs an emulator of a backend server.
type emulateBackendCommand struct {
	opts   backend.Options
	faults backend.Faults
}

func (*emulateBackendCommand) Name() string     { return "backend" }
func (*emulateBackendCommand) Synopsis() string { return "run an emulator of a backend server" }
func (*emulateBackendCommand) Usage() string {
	return "backend -name NAME -service SERVICE -listen ADDR -daemon ADDR [FLAGS]:\n" +
		"  Run a backend server; /emulate/runs lists its runs, PUT /emulate/faults sets its faults.\n"
}

func (c *emulateBackendCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Name, "name", "", "name")
	f.StringVar(&c.opts.Service, "service", "", "service")
	f.StringVar(&c.opts.Version, "version", "", "announced version")
	f.StringVar(&c.opts.Addr, "listen", "", "address")
	f.StringVar(&c.opts.DaemonAdmin, "daemon", "", "admin address of the daemon")
	f.IntVar(&c.opts.Slots, "slots", 9, "maximum number of concurrent requests")
	f.IntVar(&c.opts.MaxConns, "connections", 0, "maximum number of open connections; 0 means no limit")
	f.DurationVar(&c.opts.ConnectTime, "connect-time", 0, "time added to a new connection")
	f.BoolVar(&c.opts.ChecksFence, "checks-fence", false, "reject requests of stale generations")
	f.DurationVar(&c.opts.ServiceTime, "service-time", 2*time.Millisecond, "time to run a request")
	f.DurationVar(&c.opts.WarmUp, "warm-up", 0, "time from cold to full capacity; 0 starts warm")
	f.DurationVar(&c.opts.StallTime, "stall", 3*time.Second, "downtime after an overload while cold")
	f.DurationVar(&c.opts.ReportLag, "report-lag", 5*time.Second, "age of the reported load")
	f.BoolVar(&c.opts.ExitOnCrash, "exit-on-crash", false, "exit the process on a crash")
	f.Float64Var(&c.faults.SlowFactor, "slow-factor", 1, "factor on the service time")
}

func (c *emulateBackendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.opts.Name == "" || c.opts.Service == "" || c.opts.DaemonAdmin == "" || c.opts.Slots < 1 {
		return finish(fmt.Errorf("%w: -name, -service, -daemon and positive -slots are required", errUsage))
	}
	c.opts.Exit = os.Exit
	listener, err := net.Listen("tcp", c.opts.Addr)
	if err != nil {
		return finish(err)
	}
	server := backend.New(c.opts)
	server.SetFaults(c.faults)
	return finish(server.Run(ctx, listener))
}
