package lease

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed unless one is asked for, so
// that every run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
