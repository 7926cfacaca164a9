package main

import (
	"maps"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"strings"
	"syscall"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/settings"
)

// levelField is the one field of the settings that a running daemon takes over.
const levelField = "log_level"

// reloads reads the settings file again at each SIGHUP.
func reloads(path string, set settings.Daemon, level zap.AtomicLevel, log *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		set = reload(path, set, level, log)
	}
}

// reload reads the settings file and returns the settings in force. A faulty file
// changes nothing; fields other than the log level wait for a restart.
func reload(path string, set settings.Daemon, level zap.AtomicLevel, log *zap.Logger) settings.Daemon {
	next, err := settings.LoadDaemon(path)
	if err != nil {
		log.Error("reload", zap.String("outcome", "the settings in force stay"), zap.Error(err))
		return set
	}
	changed := changedFields(set, next)
	if err := level.UnmarshalText([]byte(next.LogLevel)); err != nil {
		log.Error("reload", zap.String("outcome", "the settings in force stay"), zap.Error(err))
		return set
	}
	set.LogLevel = next.LogLevel
	waiting := slices.DeleteFunc(slices.Clone(changed), func(name string) bool { return name == levelField })
	log.Info("reload", zap.String("outcome", "done"), zap.Strings("changed", changed), zap.Strings("wait_for_restart", waiting))
	return set
}

// changedFields returns the names of the top-level fields that differ.
func changedFields(a, b settings.Daemon) []string {
	names := map[string]bool{}
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			name, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
