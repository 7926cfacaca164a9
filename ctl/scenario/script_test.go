package scenario

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var daemonBinary, ctlBinary string

// TestMain builds the daemon and the command-line tool once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemonBinary = filepath.Join(dir, "sesamemoord")
	ctlBinary = filepath.Join(dir, "sesamemoorctl")
	code := 1
	if err := build(); err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, "build:", err)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build() error {
	for out, pkg := range map[string]string{
		daemonBinary: "github.com/sesamemoor/sesamemoor/daemon/cmd/sesamemoord",
		ctlBinary:    "github.com/sesamemoor/sesamemoor/ctl/cmd/sesamemoorctl",
	} {
		cmd := exec.Command("go", "build", "-o", out, pkg)
		cmd.Stderr = os.Stderr
		if err := cmd.Run(); err != nil {
			return fmt.Errorf("%s: %w", pkg, err)
		}
	}
	return nil
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			s := &scenario{dir: env.WorkDir, vars: map[string]string{}, faultSet: map[string]time.Time{}}
			env.Values["scenario"] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":      command((*scenario).cmdFleet),
			"crash":      command((*scenario).cmdCrash),
			"start":      command((*scenario).cmdStart),
			"terminate":  command((*scenario).cmdTerminate),
			"freeze":     command((*scenario).cmdFreeze),
			"thaw":       command((*scenario).cmdThaw),
			"cut":        command((*scenario).cmdCut),
			"mute":       command((*scenario).cmdMute),
			"heal":       command((*scenario).cmdHeal),
			"platform":   command((*scenario).cmdPlatform),
			"backend":    command((*scenario).cmdBackend),
			"patch":      command((*scenario).cmdPatch),
			"watch":      command((*scenario).cmdWatch),
			"request":    command((*scenario).cmdRequest),
			"expect":     command((*scenario).cmdExpect),
			"eventually": command((*scenario).cmdEventually),
			"owner":      command((*scenario).cmdOwner),
			"keeper":     command((*scenario).cmdKeeper),
			"pause":      command((*scenario).cmdPause),
			"newid":      command((*scenario).cmdNewID),
			"cold":       command((*scenario).cmdCold),
			"flood":      command((*scenario).cmdFlood),
			"versions":   command((*scenario).cmdVersions),
			"repeat":     command((*scenario).cmdRepeat),
		},
	})
}

// command adapts a scenario method to a testscript command. With the prefix "!" the
// command must fail.
func command(run func(*scenario, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value("scenario").(*scenario)
		err := run(s, ts, s.expand(args))
		if neg && err == nil {
			ts.Fatalf("unexpected success")
		}
		if !neg && err != nil {
			s.logStatus(ts)
			ts.Fatalf("%v", err)
		}
	}
}

// scenario is the state of one script or soak run.
type scenario struct {
	dir      string
	fleet    *fleet
	workload *workload
	samples  []sample // of the stopped workload
	repeats  []sample // of the last repeat command
	vars     map[string]string
	faultSet map[string]time.Time // when the faults of each backend server were last set
	versions *versionMonitor
}

// maxFleets is the maximum number of concurrent fleets. The timeouts in the scripts
// assume that the tests do not overload the machine.
const maxFleets = 4

var fleetSlots = make(chan struct{}, maxFleets)

func (s *scenario) close() {
	if s.workload != nil {
		s.workload.cancel()
	}
	if s.fleet != nil {
		s.fleet.stop()
		<-fleetSlots
	}
	if logDir := os.Getenv("SCENARIO_LOGS"); logDir != "" {
		logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
		for _, file := range logs {
			if data, err := os.ReadFile(file); err == nil {
				_ = os.WriteFile(filepath.Join(logDir, filepath.Base(s.dir)+"-"+filepath.Base(file)), data, 0o644)
			}
		}
	}
}

// expand replaces @name with the value of a script variable, longest names first.
func (s *scenario) expand(args []string) []string {
	names := slices.Collect(maps.Keys(s.vars))
	slices.SortFunc(names, func(a, b string) int { return len(b) - len(a) })
	out := slices.Clone(args)
	for i := range out {
		for _, name := range names {
			out[i] = strings.ReplaceAll(out[i], "@"+name, s.vars[name])
		}
	}
	return out
}

// logStatus logs the status of every daemon after a failed command.
func (s *scenario) logStatus(ts *testscript.TestScript) {
	if s.fleet == nil {
		return
	}
	for _, m := range s.fleet.members {
		st, err := s.fleet.status(m)
		if err != nil {
			ts.Logf("%s: %v", m.daemon.name, err)
			continue
		}
		ts.Logf("%s: lease held %v, %d shards owned, configuration version %d", m.daemon.name, st.LeaseHeld, len(st.Held), st.ConfigVersion)
	}
}

// options are the name=value arguments of a command.
type options map[string]string

func parseOptions(args []string) (options, error) {
	o := options{}
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			return nil, fmt.Errorf("expected name=value, got %q", a)
		}
		o[name] = value
	}
	return o, nil
}

func (o options) number(name string, defaultValue int) int {
	if n, err := strconv.Atoi(o[name]); err == nil {
		return n
	}
	return defaultValue
}

func (o options) duration(name string, defaultValue time.Duration) time.Duration {
	if d, err := time.ParseDuration(o[name]); err == nil {
		return d
	}
	return defaultValue
}

func (o options) text(name, defaultValue string) string {
	if v, ok := o[name]; ok {
		return v
	}
	return defaultValue
}
