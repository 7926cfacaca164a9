package bench

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// A variant without settings of policy takes the example's own.
func TestSettingsWithoutPolicyAreValid(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f := &Fleet{dir: dir}
	is.NoErr(f.generate(FleetOptions{Example: filepath.Join("..", "..", "examples", "hanbit"), Dir: dir, BasePort: 30000}))
}
