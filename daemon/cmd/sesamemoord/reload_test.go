package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/settings"
)

const valid = `{"slot": "d1", "data_centre": "a", "region": "r",
	"peer_addr": "127.0.0.1:1", "witness_addr": "127.0.0.1:2", "entry_addr": "127.0.0.1:3", "admin_addr": "127.0.0.1:4",
	"platform_url": "http://127.0.0.1:5", "key_hash_secret": "0123456789abcdef", "log_level": "LEVEL"}`

func TestReloadAppliesLogLevelAndIgnoresInvalidFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(level string) {
		is.NoErr(os.WriteFile(path, []byte(strings.Replace(valid, "LEVEL", level, 1)), 0o600))
	}
	write("info")
	set, err := settings.LoadDaemon(path)
	is.NoErr(err)
	level := zap.NewAtomicLevelAt(zap.InfoLevel)
	write("debug")
	set = reload(path, set, level, zap.NewNop())
	is.Equal(level.Level(), zap.DebugLevel)
	is.Equal(set.LogLevel, "debug")
	is.NoErr(os.WriteFile(path, []byte("{"), 0o600))
	set = reload(path, set, level, zap.NewNop())
	is.Equal(level.Level(), zap.DebugLevel)
	is.Equal(set.LogLevel, "debug")
}

func TestChangedFields(t *testing.T) {
	is := is.New(t)
	a := settings.Default()
	b := a
	b.LogLevel = "debug"
	b.Bounds.DrainS++
	is.Equal(changedFields(a, b), []string{"bounds", "log_level"})
}
