package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sesamemoor/sesamemoor/core/adminapi"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/ctl/emulate/platform"
	"github.com/sesamemoor/sesamemoor/daemon/edge/edgetest"
)

const (
	hashSecret  = "scenario-hash-secret"
	region      = "kr-south"
	peerPort    = 7100
	witnessPort = 7200
	entryPort   = 7300
	adminPort   = 7400
	backendPort = 7500
	logPort     = 7000
)

// Last octets of the hosts in a fleet's loopback network. Daemon i and its
// proxies add i to their base.
const (
	hostDaemon   = 0
	hostProxy    = 40
	hostLogProxy = 80
	hostPlatform = 200
)

// networkCount is the number of loopback networks allocated by this test process.
var networkCount atomic.Int32

// process is a daemon or backend server of the fleet, running or not.
type process struct {
	name    string
	args    []string
	respawn bool // restart it after an unexpected exit
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
}

// fleet contains the processes, proxies and emulated platform of one scenario.
type fleet struct {
	dir     string
	prefix  string // "127.A.B."
	dcs     []string
	service string
	shards  int
	members []*member
	net     *network
	logAddr string
	closers []io.Closer
	client  *http.Client // of the tests' own calls
	callers *callerPool
	keys    map[string]string // caller key by team
	version uint64
}

// member is a daemon with its backend server.
type member struct {
	index   int
	dc      string
	ip      netip.Addr
	daemon  *process
	backend *process
}

func (f *fleet) addr(host, port int) string { return fmt.Sprintf("%s%d:%d", f.prefix, host, port) }

// newFleet starts the emulated platform and the proxies of a fleet and writes its
// settings to dir. It starts no processes.
func newFleet(dir string, opts fleetOptions) (*fleet, error) {
	f := &fleet{
		dir:     dir,
		prefix:  fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%240, networkCount.Add(1)),
		dcs:     opts.dcs,
		service: opts.service,
		shards:  opts.shards,
		net:     newNetwork(),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		callers: &callerPool{free: map[string][]*edgetest.KeptCaller{}},
		keys:    map[string]string{},
	}
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	for i := range opts.size {
		if err := f.addMember(i+1, opts); err != nil {
			return nil, err
		}
	}
	return f, nil
}

type fleetOptions struct {
	size        int
	dcs         []string
	service     string
	shards      int
	slots       int
	checksFence bool
	serviceTime time.Duration
	backendArgs []string
	rollouts    bool // backend servers have version v1 and v2 in turn, daemons the bounds of roll-outs
	respawn     bool // restart backend servers after an unexpected exit
}

func (f *fleet) startPlatform() error {
	server := platform.New()
	f.logAddr = f.addr(hostPlatform, logPort)
	l, err := net.Listen("tcp", f.logAddr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: server.Handler()}
	go func() { _ = srv.Serve(l) }()
	f.closers = append(f.closers, srv)
	return nil
}

func (f *fleet) platformAddr() netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s%d", f.prefix, hostPlatform))
}

func (f *fleet) addMember(i int, opts fleetOptions) error {
	m := &member{index: i, dc: opts.dcs[(i-1)%len(opts.dcs)], ip: netip.MustParseAddr(fmt.Sprintf("%s%d", f.prefix, hostDaemon+i))}
	if err := f.startProxies(m); err != nil {
		return err
	}
	settings := map[string]any{
		"slot": fmt.Sprintf("d%d", i), "data_centre": m.dc, "region": region,
		"peer_addr": f.addr(i, peerPort), "witness_addr": f.addr(i, witnessPort),
		"entry_addr": f.addr(i, entryPort), "admin_addr": f.addr(i, adminPort),
		"advertise": map[string]string{
			"peer_addr": f.addr(hostProxy+i, peerPort), "witness_addr": f.addr(hostProxy+i, witnessPort),
		},
		"platform_url":    "http://" + f.addr(hostLogProxy+i, logPort),
		"key_hash_secret": hashSecret,
	}
	if opts.rollouts {
		settings["bounds"] = map[string]any{"exposure_share": 0.1, "exposure_slack": 50, "rollback_s": 5, "config_apply_s": 2}
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, fmt.Sprintf("d%d.json", i))
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	m.daemon = &process{name: fmt.Sprintf("d%d", i), args: []string{daemonBinary, "run", file}}
	args := []string{ctlBinary, "emulate", "backend", "-name", fmt.Sprintf("b%d", i), "-service", opts.service,
		"-listen", f.addr(i, backendPort), "-daemon", f.addr(i, adminPort), "-slots", fmt.Sprint(opts.slots),
		"-service-time", opts.serviceTime.String()}
	if opts.checksFence {
		args = append(args, "-checks-fence")
	}
	if opts.rollouts {
		args = append(args, "-version", fmt.Sprintf("v%d", 2-i%2))
	}
	m.backend = &process{name: fmt.Sprintf("b%d", i), args: append(args, opts.backendArgs...), respawn: opts.respawn}
	f.members = append(f.members, m)
	return nil
}

func (f *fleet) startProxies(m *member) error {
	i := m.index
	peer, err := f.net.proxyTCP(f.addr(hostProxy+i, peerPort), f.addr(i, peerPort), m.ip, netip.Addr{})
	if err != nil {
		return err
	}
	witness, err := f.net.proxyUDP(f.addr(hostProxy+i, witnessPort), f.addr(i, witnessPort), m.ip)
	if err != nil {
		return err
	}
	log, err := f.net.proxyTCP(f.addr(hostLogProxy+i, logPort), f.logAddr, f.platformAddr(), m.ip)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, peer, witness, log)
	return nil
}

// start starts all daemons and backend servers.
func (f *fleet) start() error {
	for _, m := range f.members {
		if err := m.daemon.start(f.dir); err != nil {
			return err
		}
		if err := m.backend.start(f.dir); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and closes the proxies and the platform.
func (f *fleet) stop() {
	for _, m := range f.members {
		m.daemon.kill()
		m.backend.kill()
	}
	for _, c := range f.closers {
		_ = c.Close()
	}
	f.client.CloseIdleConnections()
	f.callers.close()
}

func (f *fleet) member(name string) (*member, error) {
	for _, m := range f.members {
		if m.daemon.name == name || m.backend.name == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("no process is named %q", name)
}

// process returns the process with the given name.
func (f *fleet) process(name string) (*process, error) {
	m, err := f.member(name)
	if err != nil {
		return nil, err
	}
	if m.daemon.name == name {
		return m.daemon, nil
	}
	return m.backend, nil
}

// hosts returns the addresses of the hosts that name refers to: a daemon, all
// daemons of a data centre, or "platform".
func (f *fleet) hosts(name string) ([]netip.Addr, error) {
	if name == "platform" {
		return []netip.Addr{f.platformAddr()}, nil
	}
	var list []netip.Addr
	for _, m := range f.members {
		if m.daemon.name == name || m.dc == name {
			list = append(list, m.ip)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("no daemon or data centre is named %q", name)
	}
	return list, nil
}

func (p *process) start(dir string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	go p.supervise(dir, cmd, p.done)
	return nil
}

// respawnDelay is the time between an unexpected exit and the restart.
const respawnDelay = 300 * time.Millisecond

// supervise waits until the process exits and, if respawn is set and the test did
// not stop it, restarts it.
func (p *process) supervise(dir string, cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	close(done)
	if !p.respawn {
		return
	}
	time.Sleep(respawnDelay)
	p.mu.Lock()
	unexpected := p.cmd == cmd
	p.mu.Unlock()
	if unexpected {
		_ = p.start(dir)
	}
}

// running returns the command that was started last, or nil if there is none or the
// test has stopped it. A process that exited unexpectedly is still returned.
func (p *process) running() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

func (p *process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s is not running", p.name)
	}
	return p.cmd.Process.Signal(sig)
}

// kill sends SIGKILL and waits until the process exits. It has no effect on a
// stopped process.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// terminate sends SIGTERM and waits until the process exits. It returns an error
// if that takes longer than timeout or the exit code is not 0.
func (p *process) terminate(timeout time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	p.mu.Lock()
	done, cmd := p.done, p.cmd
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %s", p.name, timeout)
	}
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s exited with code %d, expected 0", p.name, code)
	}
	return nil
}

// statusTimeout is the timeout of one request to a daemon's admin interface.
const statusTimeout = time.Second

func (f *fleet) status(m *member) (*adminapi.Status, error) {
	client := &http.Client{Timeout: statusTimeout}
	resp, err := client.Get("http://" + f.addr(m.index, adminPort) + "/v1/status")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	st := new(adminapi.Status)
	return st, json.NewDecoder(resp.Body).Decode(st)
}

// patch applies a merge patch to configuration version base with sesamemoorctl and
// returns the output of the tool.
func (f *fleet) patch(base uint64, patch string) (string, error) {
	cmd := exec.Command(ctlBinary, "config", "patch", "-platform", "http://"+f.logAddr, "-base", fmt.Sprint(base))
	cmd.Stdin = strings.NewReader(patch)
	var out bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &out
	err := cmd.Run()
	return out.String(), err
}

// configure creates the first configuration version: the service, its route and
// the teams, each with one caller key.
func (f *fleet) configure(teams map[string]teamOptions) error {
	dcs := map[string]any{}
	for _, dc := range f.dcs {
		dcs[dc] = map[string]string{"region": region}
	}
	all := map[string]any{}
	for name, t := range teams {
		f.keys[name] = "smk_" + name
		all[name] = map[string]any{
			"rate": t.rate, "burst": t.burst, "services": []string{f.service},
			"keys": map[string]any{"k1": map[string]string{"hash": keyhash.Sum([]byte(hashSecret), f.keys[name])}},
		}
	}
	doc, err := json.Marshal(map[string]any{
		"data_centres": dcs,
		"services":     map[string]any{f.service: map[string]any{"region": region, "shards": f.shards}},
		"routes": map[string]any{f.service: map[string]any{
			"prefix": "/" + f.service, "service": f.service, "key": "path:0"}},
		"teams": all,
	})
	if err != nil {
		return err
	}
	out, err := f.patch(0, string(doc))
	if err != nil {
		return fmt.Errorf("configure: %w: %s", err, out)
	}
	f.version = 1
	return nil
}

type teamOptions struct{ rate, burst float64 }
