// Package kernel is the small core of the daemon: the registry of plug-ins, the
// control goroutine, and the interfaces through which plug-ins meet.
//
// A plug-in registers itself from init with a dotted ID and contributes an fx
// module. It reaches others only through the interfaces of this package.
package kernel

import (
	"fmt"
	"slices"
	"strings"

	"go.uber.org/fx"
)

// Plugin is a part of the daemon that registers itself.
type Plugin struct {
	ID     string // dotted, for example "sesamemoor.entry"
	Module func() fx.Option
}

var plugins = map[string]Plugin{}

// Register adds a plug-in. It is called from init and panics on an invalid or
// repeated ID.
func Register(p Plugin) {
	if !strings.HasPrefix(p.ID, "sesamemoor.") || p.Module == nil {
		panic(fmt.Sprintf("kernel: plug-in %q is not valid", p.ID))
	}
	if _, dup := plugins[p.ID]; dup {
		panic(fmt.Sprintf("kernel: plug-in %q registered twice", p.ID))
	}
	plugins[p.ID] = p
}

// Plugins returns the IDs of the registered plug-ins in ascending order.
func Plugins() []string {
	ids := make([]string, 0, len(plugins))
	for id := range plugins {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Modules returns the fx modules of all registered plug-ins.
func Modules() fx.Option {
	var options []fx.Option
	for _, id := range Plugins() {
		options = append(options, fx.Module(id, plugins[id].Module()))
	}
	return fx.Options(options...)
}
