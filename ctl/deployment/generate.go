package deployment

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"

	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/ctl/load"
	"github.com/sesamemoor/sesamemoor/ctl/toolsettings"
)

// Ports of one daemon and its backend server, as offsets in their block of ports.
const (
	portPeer = iota
	portWitness
	portEntry
	portAdmin
	portBackend
	portsPerDaemon = 10 // size of the block
)

// Parameters of the generated load plan.
const (
	loadDurationMS     = 25_000
	loadTimeoutMS      = 2500
	loadResends        = 1
	loadKeys           = 400
	loadSkew           = 1.2
	loadHotKeyChangeMS = 5000
	maxOutstanding     = 2000
)

// Source names the files from which settings are generated.
type Source struct {
	Deployment string // description of the deployment
	Daemon     string // settings shared by all daemons
}

// Generate writes the settings of each daemon and of the tool, a load plan and two
// tables for scripts to dir. A line of backends.tsv has a backend server's name,
// service, data centre, address, admin address of its daemon, slots, connections,
// connect time and service time in milliseconds, and whether it checks fencing
// tokens. A line of teams.tsv has a team's name, rate, burst and services. All
// processes listen on loopback: the platform on basePort, the others on the ports
// above it.
func Generate(src Source, dir string, basePort int) error {
	d, err := Load(src.Deployment)
	if err != nil {
		return err
	}
	shared := map[string]any{}
	if err := decodeFile(src.Daemon, &shared); err != nil {
		return err
	}
	if last := basePort + portsPerDaemon*(d.workers()+1); basePort < 1024 || last > 65_535 {
		return fmt.Errorf("%w: ports %d to %d are not in the range 1024 to 65535", ErrInvalid, basePort, last)
	}
	g := &generator{dir: dir, base: basePort, shared: shared, deployment: d}
	return g.run()
}

func (d Deployment) workers() int {
	n := 0
	for _, s := range d.Services {
		n += s.Workers
	}
	return n
}

// generator collects the settings of the tool and the load plan while it writes those
// of the daemons.
type generator struct {
	dir        string
	base       int
	shared     map[string]any // settings shared by all daemons
	deployment Deployment

	tool     toolsettings.Settings
	plan     load.Plan
	backends strings.Builder
}

func (g *generator) platformURL() string { return fmt.Sprintf("http://127.0.0.1:%d", g.base) }

func (g *generator) run() error {
	if err := os.MkdirAll(filepath.Join(g.dir, "daemons"), 0o755); err != nil {
		return err
	}
	g.tool.PlatformURL = g.platformURL()
	n := 0
	for _, s := range g.deployment.Services {
		for i := range s.Workers {
			n++
			dc := g.deployment.DataCentres[i%len(g.deployment.DataCentres)]
			if err := g.addDaemon(s, fmt.Sprintf("%s-%d", s.Name, i+1), dc, g.base+n*portsPerDaemon); err != nil {
				return err
			}
		}
	}
	g.setLoadPlan()
	return g.writeFiles()
}

// addDaemon writes the settings of one daemon, and adds the daemon and its backend
// server to the other files.
func (g *generator) addDaemon(s Service, name, dc string, port int) error {
	addr := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	fields := maps.Clone(g.shared)
	fields["slot"] = name
	fields["data_centre"] = dc
	fields["region"] = g.deployment.Region
	fields["peer_addr"] = addr(portPeer)
	fields["witness_addr"] = addr(portWitness)
	fields["entry_addr"] = addr(portEntry)
	fields["admin_addr"] = addr(portAdmin)
	fields["platform_url"] = g.platformURL()
	data, err := json.MarshalIndent(fields, "", "  ")
	if err != nil {
		return err
	}
	parsed, err := settings.ParseDaemon(data)
	if err != nil {
		return err
	}
	g.tool.KeyHashSecret = parsed.KeyHashSecret
	g.tool.AdminAddrs = append(g.tool.AdminAddrs, addr(portAdmin))
	g.plan.Targets = append(g.plan.Targets, "http://"+addr(portEntry))
	g.plan.Backends = append(g.plan.Backends, "http://"+addr(portBackend))
	fmt.Fprintf(&g.backends, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%t\n", name, s.Name, dc, addr(portBackend), addr(portAdmin),
		s.Slots, s.Connections, s.ConnectTimeMS, s.ServiceTimeMS, s.ChecksFence)
	return os.WriteFile(filepath.Join(g.dir, "daemons", name+".json"), append(data, '\n'), 0o600)
}

func (g *generator) setLoadPlan() {
	g.plan.Seed = 1
	g.plan.DurationMS = loadDurationMS
	g.plan.TimeoutMS = loadTimeoutMS
	g.plan.MaxOutstanding = maxOutstanding
	g.plan.Resends = loadResends
	g.plan.Keys = loadKeys
	g.plan.Skew = loadSkew
	g.plan.HotKeyChangeMS = loadHotKeyChangeMS
	for _, t := range g.deployment.Teams {
		var paths []string
		for _, s := range t.Services {
			paths = append(paths, "/"+s)
		}
		g.plan.Teams = append(g.plan.Teams, load.Team{
			Name: t.Name, Rate: t.Load, Limit: t.Rate, Burst: t.Burst, Paths: paths, Idempotent: t.Idempotent,
		})
	}
}

func (g *generator) writeFiles() error {
	var teams strings.Builder
	for _, t := range g.deployment.Teams {
		fmt.Fprintf(&teams, "%s\t%g\t%g\t%s\n", t.Name, t.Rate, t.Burst, strings.Join(t.Services, ","))
	}
	for name, value := range map[string]any{"tool.json": g.tool, "load.json": g.plan} {
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(g.dir, name), append(data, '\n'), 0o600); err != nil {
			return err
		}
	}
	for name, text := range map[string]string{"backends.tsv": g.backends.String(), "teams.tsv": teams.String()} {
		if err := os.WriteFile(filepath.Join(g.dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
