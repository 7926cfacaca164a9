package scenario

import (
	"fmt"
	"os/exec"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// versionWatch looks at the configuration versions of all daemons and notes
// each that goes back within the life of a process.
type versionWatch struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	reverted []string
	looks    int
}

// cmdVersions: versions start | versions stop
func (s *scenario) cmdVersions(_ *testscript.TestScript, args []string) error {
	if args[0] == "start" {
		s.versions = &versionWatch{stop: make(chan struct{})}
		for _, m := range s.fleet.members {
			s.versions.wg.Go(func() { s.versions.follow(s.fleet, m) })
		}
		return nil
	}
	close(s.versions.stop)
	s.versions.wg.Wait()
	if s.versions.looks == 0 {
		return fmt.Errorf("no version was seen")
	}
	if len(s.versions.reverted) > 0 {
		return fmt.Errorf("configuration went back: %v", s.versions.reverted)
	}
	return nil
}

// follow polls one daemon. A process that was started anew begins again.
func (w *versionWatch) follow(f *fleet, m *member) {
	var newest uint64
	var process *exec.Cmd
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pollInterval):
		}
		asked := m.daemon.running()
		st, err := f.status(m)
		if err != nil || m.daemon.running() != asked {
			continue
		}
		if asked != process {
			process = asked
			newest = 0
		}
		w.note(m, &newest, st.ConfigVersion)
	}
}

func (w *versionWatch) note(m *member, newest *uint64, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if version < *newest {
		w.reverted = append(w.reverted, fmt.Sprintf("%s from %d to %d", m.daemon.name, *newest, version))
	}
	*newest = max(*newest, version)
}
