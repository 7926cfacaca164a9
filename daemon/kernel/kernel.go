// Package kernel is the core of the daemon: the registry of plug-ins, the control
// goroutine, and the interfaces between plug-ins.
//
// A plug-in registers itself from init with a dotted ID and contributes an fx
// module. Plug-ins use each other only through the interfaces of this package.
package kernel

import (
	"fmt"
	"slices"
	"strings"

	"go.uber.org/fx"
)

// Stage orders the start of plug-ins: by stage, then by ID. They stop in reverse
// order.
type Stage int

// The stages. Plug-ins that accept callers' requests are at StageEdge: they start
// last and stop first.
const (
	StageInner Stage = iota
	StageEdge
)

// Plugin is a registered part of the daemon.
type Plugin struct {
	ID     string // dotted, for example "sesamemoor.entry"
	Stage  Stage
	Module func() fx.Option
	// Interface is the value of the interface setting for which the plug-in is
	// loaded; empty for all values.
	Interface string
}

var plugins = map[string]Plugin{}

// Register adds a plug-in. It is called from init. It panics if the ID does not
// begin with "sesamemoor." or is already registered, or if Module is nil.
func Register(p Plugin) {
	if !strings.HasPrefix(p.ID, "sesamemoor.") || p.Module == nil {
		panic(fmt.Sprintf("kernel: plug-in %q has an invalid ID or no module", p.ID))
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

// Modules returns the fx modules of the plug-ins for an interface setting and of
// the control goroutine. The control goroutine starts after the inner plug-ins, since
// they carry out its effects, and stops after the edge plug-ins, so that it outlives
// callers' requests.
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

// Select returns the modules of the named plug-ins only, for tests that combine
// some of them. It panics on an ID that is not registered.
func Select(ids ...string) fx.Option {
	var options []fx.Option
	for _, id := range ids {
		options = append(options, fx.Module(id, plugins[id].Module()))
	}
	return fx.Options(options...)
}
