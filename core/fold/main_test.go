package fold

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless -rapid.seed is set, so
// that results are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
