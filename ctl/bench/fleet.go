package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
	"github.com/sesamemoor/sesamemoor/ctl/operator"
	"github.com/sesamemoor/sesamemoor/ctl/toolsettings"
)

const (
	platformStartTimeout = 10 * time.Second
	fleetStartTimeout    = 60 * time.Second
	requestTimeout       = 2 * time.Second       // of a request to a daemon or backend server
	retryInterval        = 50 * time.Millisecond // between attempts to read the log while it does not respond
)

// server is one backend server with its daemon. Both have the same name.
type server struct {
	name, service, dataCentre string
	addr, admin               string // of the backend server and of the daemon's admin interface
	backendArgs               []string
	daemonFile                string
}

// Fleet is a deployment that runs as processes on loopback.
type Fleet struct {
	Deployment deployment.Deployment
	Config     *fleet.Config

	dir         string
	binaries    Binaries
	tool        toolsettings.Settings
	plan        load.Plan
	servers     []server
	processes   map[string]*process
	killedNames map[string]bool // processes that were killed, whose in-memory records are lost
	placement   *tail
	client      *http.Client
}

// Binaries are the paths of the programs that a fleet runs.
type Binaries struct {
	Daemon string // sesamemoord
	Tool   string // sesamemoorctl, which emulates the platform and backend servers
}

// process is a process of the fleet that was started and not yet killed.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// FleetOptions describe a fleet by an example deployment and the changes to it.
type FleetOptions struct {
	Example  string // directory with deployment.json, daemon.json and config.json
	Dir      string // for generated settings and logs
	BasePort int
	Policy   map[string]string            // policy settings of daemons; empty keeps the example's
	Change   func(*deployment.Deployment) // nil changes nothing
	WarmUp   time.Duration                // of backend servers; 0 starts them warm
	Binaries Binaries
}

// StartFleet generates the settings, starts all processes and waits until every
// daemon holds a lease and every shard has an owner. It returns the Fleet even if
// it fails; the caller must call Stop in either case.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	f := &Fleet{dir: o.Dir, binaries: o.Binaries, processes: map[string]*process{}, killedNames: map[string]bool{}, client: &http.Client{Timeout: requestTimeout}}
	if err := f.generate(o); err != nil {
		return f, err
	}
	if err := f.readServers(o.WarmUp); err != nil {
		return f, err
	}
	if err := f.configure(ctx, o.Example); err != nil {
		return f, err
	}
	f.placement = startTail(logstream.NewHTTP(f.tool.PlatformURL), logstream.PlacementStream(f.Deployment.Region))
	for _, s := range f.servers {
		if err := f.startServer(s); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(ctx)
}

// waitReady waits until the daemons report that they are ready, at most
// fleetStartTimeout.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	_, missing := operator.NewAdminClient(f.tool.AdminAddrs).WaitReady(ctx, f.Config, false)
	if len(missing) > 0 {
		return fmt.Errorf("bench: fleet not ready after %s: %s", fleetStartTimeout, strings.Join(missing, "; "))
	}
	return nil
}

// configure starts the emulated platform, waits until it responds, and writes the
// configuration with teams and caller keys to its log.
func (f *Fleet) configure(ctx context.Context, example string) error {
	listen := strings.TrimPrefix(f.tool.PlatformURL, "http://")
	if err := f.start("platform", f.binaries.Tool, "emulate", "platform", "-listen", listen); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, platformStartTimeout)
	defer cancel()
	cfg := f.config()
	for {
		_, _, err := cfg.Replay(ctx)
		if err == nil {
			break
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("bench: wait for platform: %w", err)
		case <-time.After(retryInterval):
		}
	}
	doc, err := f.configDocument(example)
	if err != nil {
		return err
	}
	if _, err := cfg.Patch(ctx, 0, doc, "bench"); err != nil {
		return err
	}
	history, _, err := cfg.Replay(ctx)
	if err != nil {
		return err
	}
	f.Config = history.Config
	return nil
}

// config returns the operator's access to the configuration stream.
func (f *Fleet) config() *operator.Config {
	return &operator.Config{Log: logstream.NewHTTP(f.tool.PlatformURL), Operator: "bench"}
}

// startServer starts the daemon and its backend server.
func (f *Fleet) startServer(s server) error {
	if err := f.start("daemon-"+s.name, f.binaries.Daemon, "run", s.daemonFile); err != nil {
		return err
	}
	return f.start("backend-"+s.name, f.binaries.Tool, s.backendArgs...)
}

// start starts a process whose output is appended to a log in the fleet's
// directory.
func (f *Fleet) start(name, binary string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.dir, "logs", name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("bench: start %s: %w", name, err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	f.processes[name] = p
	return nil
}

// kill sends SIGKILL to a process and waits until it has ended.
func (f *Fleet) kill(name string) {
	p, ok := f.processes[name]
	if !ok {
		return
	}
	delete(f.processes, name)
	f.killedNames[name] = true
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop kills every process of the fleet.
func (f *Fleet) Stop() {
	if f.placement != nil {
		f.placement.close()
	}
	for name := range f.processes {
		f.kill(name)
	}
}

// in returns the servers of a data centre.
func (f *Fleet) in(dataCentre string) []server {
	var list []server
	for _, s := range f.servers {
		if s.dataCentre == dataCentre {
			list = append(list, s)
		}
	}
	return list
}

// server returns the server of that name, or the zero value.
func (f *Fleet) server(name string) server {
	for _, s := range f.servers {
		if s.name == name {
			return s
		}
	}
	return server{}
}

// controlBackend sends a request to the control endpoint of an emulated backend server.
func (f *Fleet) controlBackend(ctx context.Context, name, method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.server(name).addr+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("bench: %s: %s: unexpected status %d", name, path, resp.StatusCode)
	}
	return nil
}

// setDataCentreOut takes a data centre out of service or returns it to service.
func (f *Fleet) setDataCentreOut(ctx context.Context, dataCentre string, out bool) error {
	patch, err := json.Marshal(map[string]any{"data_centres": map[string]any{dataCentre: map[string]bool{"out": out}}})
	if err != nil {
		return err
	}
	edit := func(*fleet.Config) ([]byte, error) { return patch, nil }
	_, err = f.config().Apply(ctx, edit, "bench", 3)
	return err
}

// shardCounts returns the number of shards of each service.
func (f *Fleet) shardCounts() map[string]uint32 {
	counts := map[string]uint32{}
	for name, s := range f.Config.Services {
		counts[name] = uint32(s.Shards)
	}
	return counts
}
