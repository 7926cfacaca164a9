package scenario

import (
	"fmt"
	"os/exec"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// versionMonitor polls the configuration version of every daemon and records each
// decrease while the daemon process stays the same.
type versionMonitor struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu          sync.Mutex
	regressions []string
	polls       int
}

// cmdVersions: versions start | versions stop. Stop fails if a version decreased or
// no version was read.
func (s *scenario) cmdVersions(_ *testscript.TestScript, args []string) error {
	if args[0] == "start" {
		s.versions = &versionMonitor{stop: make(chan struct{})}
		for _, m := range s.fleet.members {
			s.versions.wg.Go(func() { s.versions.poll(s.fleet, m) })
		}
		return nil
	}
	close(s.versions.stop)
	s.versions.wg.Wait()
	if s.versions.polls == 0 {
		return fmt.Errorf("no configuration version was read")
	}
	if len(s.versions.regressions) > 0 {
		return fmt.Errorf("configuration version decreased: %v", s.versions.regressions)
	}
	return nil
}

// poll polls one daemon until the monitor stops. A restarted process may begin with
// a lower version.
func (v *versionMonitor) poll(f *fleet, m *member) {
	var newest uint64
	var lastProcess *exec.Cmd
	for {
		select {
		case <-v.stop:
			return
		case <-time.After(pollInterval):
		}
		current := m.daemon.running()
		st, err := f.status(m)
		if err != nil || m.daemon.running() != current {
			continue
		}
		if current != lastProcess {
			lastProcess = current
			newest = 0
		}
		v.observe(m, &newest, st.ConfigVersion)
	}
}

func (v *versionMonitor) observe(m *member, newest *uint64, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.polls++
	if version < *newest {
		v.regressions = append(v.regressions, fmt.Sprintf("%s from %d to %d", m.daemon.name, *newest, version))
	}
	*newest = max(*newest, version)
}
