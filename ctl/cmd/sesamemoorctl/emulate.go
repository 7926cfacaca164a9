package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/ctl/emulate/backend"
	"github.com/sesamemoor/sesamemoor/ctl/emulate/platform"
)

type emulatePlatformCommand struct{ listen string }

func (*emulatePlatformCommand) Name() string     { return "emulate-platform" }
func (*emulatePlatformCommand) Synopsis() string { return "run a stand-in of the platform's log" }
func (*emulatePlatformCommand) Usage() string    { return "emulate-platform -listen ADDR\n" }
func (c *emulatePlatformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "address")
}

func (c *emulatePlatformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return listen(c.listen, platform.New().Handler())
}

type emulateBackendCommand struct{ opts backend.Options }

func (*emulateBackendCommand) Name() string     { return "emulate-backend" }
func (*emulateBackendCommand) Synopsis() string { return "run a stand-in of a backend server" }
func (*emulateBackendCommand) Usage() string {
	return "emulate-backend -name N -service S -listen ADDR -daemon ADDR\n"
}

func (c *emulateBackendCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Name, "name", "", "name")
	f.StringVar(&c.opts.Service, "service", "", "service")
	f.StringVar(&c.opts.Addr, "listen", "", "address")
	f.StringVar(&c.opts.DaemonAdmin, "daemon", "", "admin address of the daemon")
	f.IntVar(&c.opts.Slots, "slots", 9, "requests run at once")
	f.BoolVar(&c.opts.ChecksFence, "checks-fence", false, "reject stale generations")
	f.DurationVar(&c.opts.ServiceTime, "service-time", 2*time.Millisecond, "time to run a request")
}

func (c *emulateBackendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s := backend.New(c.opts)
	go func() { _ = s.Announce(ctx) }()
	return listen(c.opts.Addr, s.Handler())
}

func listen(addr string, h http.Handler) subcommands.ExitStatus {
	srv := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	if err := srv.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "sesamemoorctl:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
