package retry

import (
	"testing"

	"github.com/matryer/is"
)

// Where callers have no keys, the calls of backend servers were taken for requests of callers: calls of
// repeated runs were charged to no budget, and none ran before the requests of callers.
func TestCallIsKnownByTheIDOfItsRun(t *testing.T) {
	is := is.New(t)
	runs := NewRuns()
	first, second := runs.Begin("a", 0, false), runs.Begin("a.b", 0, true)
	is.Equal(runs.ByCallID("a.c"), first)
	is.Equal(runs.ByCallID("a.b.c"), second) // a call of a call
	for _, id := range []string{"a", "ab.c", ".c", "c", ""} {
		if got := runs.ByCallID(id); got != nil {
			t.Errorf("%q is taken for a call of %q", id, got.id)
		}
	}
	again := runs.Begin("a", 0, false) // a caller repeats a request that still runs
	is.Equal(runs.ByCallID("a.c"), again)
	again.End()
	is.Equal(runs.ByCallID("a.c"), first)
	first.End()
	is.True(runs.ByCallID("a.c") == nil)
}
