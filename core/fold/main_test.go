package fold

import (
	"flag"
	"os"
	"testing"
)

// TestMain draws the same inputs in every run unless -rapid.seed says otherwise.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
