package bench

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
	"github.com/sesamemoor/sesamemoor/ctl/toolsettings"
)

// generate writes the settings of all processes to the fleet's directory and reads
// back those that the experiment uses.
func (f *Fleet) generate(o FleetOptions) error {
	if err := os.MkdirAll(filepath.Join(o.Dir, "logs"), 0o755); err != nil {
		return err
	}
	d, err := deployment.Load(filepath.Join(o.Example, "deployment.json"))
	if err != nil {
		return err
	}
	if o.Change != nil {
		o.Change(&d)
	}
	f.Deployment = d
	shared := map[string]any{}
	data, err := os.ReadFile(filepath.Join(o.Example, "daemon.json"))
	if err != nil {
		return err
	}
	if err := settings.Decode(data, &shared); err != nil {
		return err
	}
	if len(o.Policy) > 0 {
		shared["policy"] = o.Policy
	}
	src := deployment.Source{
		Deployment: filepath.Join(o.Dir, "deployment.json"), Daemon: filepath.Join(o.Dir, "daemon.json"),
	}
	if err := errors.Join(writeJSON(src.Deployment, d), writeJSON(src.Daemon, shared)); err != nil {
		return err
	}
	if err := deployment.Generate(src, o.Dir, o.BasePort); err != nil {
		return err
	}
	return f.readGenerated()
}

// readGenerated reads the generated tool settings and load plan.
func (f *Fleet) readGenerated() error {
	var err error
	if f.tool, err = toolsettings.Load(filepath.Join(f.dir, "tool.json")); err != nil {
		return err
	}
	data, err := os.ReadFile(filepath.Join(f.dir, "load.json"))
	if err != nil {
		return err
	}
	f.plan, err = load.ParsePlan(data)
	return err
}

func writeJSON(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// readServers reads the generated table of backend servers. deployment.Generate
// documents its columns.
func (f *Fleet) readServers(warmUp time.Duration) error {
	data, err := os.ReadFile(filepath.Join(f.dir, "backends.tsv"))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(data)) {
		columns := strings.Split(strings.TrimSpace(line), "\t")
		f.servers = append(f.servers, server{
			name: columns[0], service: columns[1], dataCentre: columns[2], addr: columns[3], admin: columns[4],
			daemonFile: filepath.Join(f.dir, "daemons", columns[0]+".json"),
			backendArgs: []string{"emulate", "backend", "-name", columns[0], "-service", columns[1], "-listen", columns[3], "-daemon", columns[4],
				"-slots", columns[5], "-connections", columns[6], "-connect-time", columns[7] + "ms", "-service-time", columns[8] + "ms",
				"-checks-fence=" + columns[9], "-warm-up", warmUp.String()},
		})
	}
	return nil
}

// configDocument returns the configuration of the example, with the teams of the
// deployment and a new caller key for each.
func (f *Fleet) configDocument(example string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(example, "config.json"))
	if err != nil {
		return nil, err
	}
	doc := map[string]any{}
	if err := settings.Decode(data, &doc); err != nil {
		return nil, err
	}
	teams := map[string]any{}
	for i, t := range f.Deployment.Teams {
		key, err := keyhash.Generate()
		if err != nil {
			return nil, err
		}
		f.plan.Teams[i].Key = key
		hash := keyhash.Sum([]byte(f.tool.KeyHashSecret), key)
		teams[t.Name] = map[string]any{
			"rate": t.Rate, "burst": t.Burst, "services": t.Services,
			"keys": map[string]fleet.CallerKey{"bench": {Hash: hash}},
		}
	}
	doc["teams"] = teams
	return json.Marshal(doc)
}
