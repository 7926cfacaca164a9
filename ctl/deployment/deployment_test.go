package deployment

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/ctl/load"
	"github.com/sesamemoor/sesamemoor/ctl/toolsettings"
)

const examples = "../../examples"

func TestExamplesAreValid(t *testing.T) {
	for name, daemons := range map[string]int{"hanbit": 11, "hai-dang": 10} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			example := filepath.Join(examples, name)
			dir := t.TempDir()
			src := Source{filepath.Join(example, "deployment.json"), filepath.Join(example, "daemon.json")}
			is.NoErr(Generate(src, dir, 21000))
			files, err := filepath.Glob(filepath.Join(dir, "daemons", "*.json"))
			is.NoErr(err)
			is.Equal(len(files), daemons)
			for _, file := range files {
				_, err := settings.LoadDaemon(file)
				is.NoErr(err)
			}
			tool, err := toolsettings.Load(filepath.Join(dir, "tool.json"))
			is.NoErr(err)
			is.Equal(len(tool.AdminAddrs), daemons)
			_, err = settings.LoadDaemon(src.Daemon)
			is.NoErr(err)
			checkPlan(is, dir, daemons)
			checkConfig(is, example)
		})
	}
}

func checkPlan(is *is.I, dir string, daemons int) {
	data, err := os.ReadFile(filepath.Join(dir, "load.json"))
	is.NoErr(err)
	plan, err := load.ParsePlan(data)
	is.NoErr(err)
	is.Equal(len(plan.Targets), daemons)
	is.Equal(len(plan.Backends), daemons)
	is.Equal(len(plan.Teams), 8)
}

// checkConfig checks that the configuration of an example has the data centres and
// services of its deployment.
func checkConfig(is *is.I, example string) {
	var doc map[string]any
	is.NoErr(decodeFile(filepath.Join(example, "config.json"), &doc))
	patch, err := json.Marshal(doc)
	is.NoErr(err)
	_, cfg, err := fleet.ApplyPatch([]byte("{}"), patch)
	is.NoErr(err)
	d, err := Load(filepath.Join(example, "deployment.json"))
	is.NoErr(err)
	for _, dc := range d.DataCentres {
		is.Equal(cfg.DataCentres[dc].Region, d.Region)
	}
	for _, s := range d.Services {
		is.True(cfg.Services[s.Name].Shards > 0)
	}
}

func TestInvalidDeploymentsAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no region":       `{"data_centres": ["d"], "services": [{"name": "s", "workers": 1, "slots": 1}]}`,
		"too many":        `{"region": "r", "data_centres": ["d"], "services": [{"name": "s", "workers": 999, "slots": 1}]}`,
		"unknown service": `{"region": "r", "data_centres": ["d"], "services": [{"name": "s", "workers": 1, "slots": 1}], "teams": [{"name": "t", "services": ["x"]}]}`,
		"unknown field":   `{"regions": "r"}`,
		"not JSON":        `{`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "deployment.json")
			is.NoErr(os.WriteFile(file, []byte(text), 0o600))
			_, err := Load(file)
			is.True(errors.Is(err, ErrInvalid))
		})
	}
}
