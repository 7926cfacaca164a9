package bench

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against invalid daemon settings for a variant without policies, which uses
// those of the example.
func TestSettingsWithoutPolicyAreValid(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f := &Fleet{dir: dir}
	is.NoErr(f.generate(FleetOptions{Example: filepath.Join("..", "..", "examples", "hanbit"), Dir: dir, BasePort: 30000}))
}
