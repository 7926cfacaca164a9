package placement

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the rapid seed, so that every run draws the same inputs unless
// -rapid.seed is set.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
