package main

import (
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/settings"
)

// logLevelField is the only settings field that a running daemon applies on reload.
const logLevelField = "log_level"

// reloadOnHangup reloads the settings file on each signal of hangups.
func reloadOnHangup(hangups <-chan os.Signal, path string, set settings.Daemon, level zap.AtomicLevel, log *zap.Logger) {
	for range hangups {
		set = reload(path, set, level, log)
	}
}

// reload reads the settings file and returns the settings in force. An invalid file
// changes nothing. Changes of fields other than the log level require a restart.
func reload(path string, set settings.Daemon, level zap.AtomicLevel, log *zap.Logger) settings.Daemon {
	next, err := settings.LoadDaemon(path)
	if err != nil {
		log.Error("reload", zap.String("outcome", "settings unchanged"), zap.Error(err))
		return set
	}
	changed := changedFields(set, next)
	if err := level.UnmarshalText([]byte(next.LogLevel)); err != nil {
		log.Error("reload", zap.String("outcome", "settings unchanged"), zap.Error(err))
		return set
	}
	set.LogLevel = next.LogLevel
	needRestart := slices.DeleteFunc(slices.Clone(changed), func(name string) bool { return name == logLevelField })
	log.Info("reload", zap.String("outcome", "done"), zap.Strings("changed", changed), zap.Strings("wait_for_restart", needRestart))
	return set
}

// changedFields returns the JSON names of the top-level fields that differ, sorted.
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
