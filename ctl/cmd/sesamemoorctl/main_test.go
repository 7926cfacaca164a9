package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sesamemoor/sesamemoor/ctl/emulate/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sesamemoorctl": main})
}

// TestScripts runs the tool against an emulated platform at $PLATFORM and two fake
// daemons at $DAEMON1 and $DAEMON2, which answer with the bodies set by the command
// answer.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/scripts",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":  exits,
			"faults": faults,
			"answer": answer,
		},
	})
}

func setup(env *testscript.Env) error {
	log := httptest.NewServer(platform.New().Handler())
	env.Defer(log.Close)
	env.Setenv("PLATFORM", log.URL)
	for i := 1; i <= 2; i++ {
		d := &fakeDaemon{bodies: map[string]string{}}
		srv := httptest.NewServer(d)
		env.Defer(srv.Close)
		env.Setenv(fmt.Sprint("DAEMON", i), strings.TrimPrefix(srv.URL, "http://"))
	}
	return nil
}

// fakeDaemon answers a GET of each path with the body of the last PUT to it.
type fakeDaemon struct{ bodies map[string]string }

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		body, _ := io.ReadAll(r.Body)
		d.bodies[r.URL.Path] = string(body)
		return
	}
	body, ok := d.bodies[r.URL.Path]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = io.WriteString(w, body)
}

// exits implements the script command "exits CODE COMMAND ARGS...". It runs the
// command and requires its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("got exit code %d, want %d", got, want)
	}
}

// faults implements the script command "faults JSON". It replaces the faults of the
// emulated platform.
func faults(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, ts.Getenv("PLATFORM")+"/admin/faults", args[0])
}

// answer implements the script command "answer DAEMON PATH FILE". It sets the body
// that a daemon answers with at a path.
func answer(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, "http://"+ts.Getenv(args[0])+args[1], ts.ReadFile(args[2]))
}

func put(ts *testscript.TestScript, url, body string) {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader([]byte(body)))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode >= 300 {
		ts.Fatalf("%s: status %d", url, resp.StatusCode)
	}
}
