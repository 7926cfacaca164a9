package main

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// A SIGHUP while the process started ended it.
func TestHangupDuringStartEndsTheProcess(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	binary, settingsFile := filepath.Join(dir, "sesamemoord"), filepath.Join(dir, "settings.json")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	is.NoErr(syscall.Mkfifo(settingsFile, 0o600))
	cmd := exec.Command(binary, "run", settingsFile)
	is.NoErr(cmd.Start())
	pipe, err := os.OpenFile(settingsFile, os.O_WRONLY, 0) // waits until the process reads its settings
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = io.WriteString(pipe, "no settings")
	is.NoErr(err)
	is.NoErr(pipe.Close())
	err = cmd.Wait()
	var exit *exec.ExitError
	is.True(errors.As(err, &exit))
	is.Equal(exit.ExitCode(), int(exitSettings))
}
