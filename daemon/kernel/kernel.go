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

// Stage orders the start of plug-ins: by stage, then by ID. They stop in the
// opposite order.
type Stage int

// The stages. Callers are let in last and taken off first.
const (
	StageInner Stage = iota
	StageEdge
)

// Plugin is a part of the daemon that registers itself.
type Plugin struct {
	ID     string // dotted, for example "sesamemoor.entry"
	Stage  Stage
	Module func() fx.Option
	// Interface names the interface of the settings with which the plug-in is
	// used; empty for all.
	Interface string
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

// Modules returns the fx modules of the plug-ins registered for an interface and
// of the control goroutine. Control starts when the inner plug-ins can carry out its effects,
// and outlives the callers' requests at the edge.
func Modules(iface string) fx.Option {
	options := stageModules(StageInner, iface)
	options = append(options, fx.Module("sesamemoor.control", fx.Invoke(registerGauges, startController)))
	options = append(options, stageModules(StageEdge, iface)...)
	return fx.Options(options...)
}

func stageModules(stage Stage, iface string) []fx.Option {
	var options []fx.Option
	for _, id := range Plugins() {
		p := plugins[id]
		if p.Stage == stage && (p.Interface == "" || p.Interface == iface) {
			options = append(options, fx.Module(id, plugins[id].Module()))
		}
	}
	return options
}

// Select returns the modules of the named plug-ins alone, for tests that join
// some of them. It panics on an ID that is not registered.
func Select(ids ...string) fx.Option {
	var options []fx.Option
	for _, id := range ids {
		options = append(options, fx.Module(id, plugins[id].Module()))
	}
	return fx.Options(options...)
}
