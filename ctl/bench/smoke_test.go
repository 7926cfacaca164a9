package bench

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// buildBinaries builds the programs that a fleet runs.
func buildBinaries(t *testing.T) Binaries {
	t.Helper()
	dir := t.TempDir()
	b := Binaries{Daemon: filepath.Join(dir, "sesamemoord"), Tool: filepath.Join(dir, "sesamemoorctl")}
	for out, pkg := range map[string]string{
		b.Daemon: "github.com/sesamemoor/sesamemoor/daemon/cmd/sesamemoord",
		b.Tool:   "github.com/sesamemoor/sesamemoor/ctl/cmd/sesamemoorctl",
	} {
		if text, err := exec.Command("go", "build", "-o", out, pkg).CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
	}
	return b
}

// freePorts returns the first of n consecutive free ports below the ephemeral range.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for base := 26_000; base+n < 32_000; base += n {
		if allFree(base, n) {
			return base
		}
	}
	t.Fatal("no free range of ports below 32000")
	return 0
}

func allFree(base, n int) bool {
	for port := base; port < base+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// smoke slows one backend server of a small fleet for the rest of a short load.
func smoke() Scenario {
	return Scenario{
		Name: "smoke", Example: "hanbit", Duration: 2 * time.Second,
		Change: func(d *deployment.Deployment) {
			for i := range d.Services {
				d.Services[i].Workers = 2 - i
			}
		},
		Load:     func(p *load.Plan) { multiplyLoad(0.1)(p) },
		Steps:    []Step{setFaultsStep(500*time.Millisecond, "slow", "storefront-1", map[string]any{"slow_factor": 2})},
		Variants: []Variant{{Name: "measured", Policy: map[string]string{"stragglers": "measured"}, Chosen: true}},
		Measure: func(r *Run) []Row {
			owned := 0
			for _, n := range ShardsBySlot(r.Moves, time.Now()) {
				owned += n
			}
			return []Row{
				{Metric: "runs", Value: float64(r.runCount("storefront-1", Window{0, time.Minute}))},
				{Metric: "shards owned", Value: float64(owned)},
				{Metric: "amplification", Value: r.amplification("slow", "")},
			}
		},
	}
}

func TestSmallExperiment(t *testing.T) {
	is := is.New(t)
	out := t.TempDir()
	var progress bytes.Buffer
	rep, err := RunScenario(t.Context(), smoke(), Options{
		Seed: 1, BasePort: freePorts(t, 40), Examples: filepath.Join("..", "..", "examples"), Out: out,
		Binaries: buildBinaries(t), Progress: &progress,
	})
	is.NoErr(err)
	is.Equal(len(rep.Variants), 1)
	figures := map[string]float64{}
	for _, row := range rep.Variants[0].Rows {
		figures[row.Metric] = row.Value
	}
	is.True(figures["requests sent"] > 0)
	is.Equal(figures["requests with a fault in the audit"], 0.0)
	is.Equal(figures["shards owned"], 112.0+64)
	is.True(figures["runs"] > 0)
	is.True(figures["amplification"] >= 1)
	is.True(progress.Len() > 0)
	for _, file := range []string{"report.json", "report.txt", "p99.png", "measured/latency.png"} {
		info, err := os.Stat(filepath.Join(out, "smoke", file))
		is.NoErr(err)
		is.True(info.Size() > 0)
	}
}

func TestScenariosAreComplete(t *testing.T) {
	is := is.New(t)
	for _, s := range Scenarios() {
		_, found := Find(s.Name)
		is.True(found)
		baseline, chosen := false, false
		for _, v := range s.Variants {
			baseline = baseline || !v.Chosen
			chosen = chosen || v.Chosen
		}
		is.True(baseline && chosen)
		is.True(s.Duration <= 90*time.Second)
	}
	_, found := Find("no such scenario")
	is.True(!found)
}
