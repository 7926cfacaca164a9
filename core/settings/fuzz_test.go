package settings

import (
	"errors"
	"testing"
)

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"slot": "a", // comment
	"lease": {"term_ms": 1200,},}`))
	f.Add([]byte(`{"unknown": 1}`))
	f.Add([]byte(`[1, 2`))
	f.Add([]byte(`{"limits": {"max_inflight": -1}} {}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := ParseDaemon(data)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error does not wrap ErrInvalid: %v", err)
			}
			return
		}
		if problems := d.Problems(); len(problems) > 0 {
			t.Fatalf("settings accepted despite problems %q", problems)
		}
	})
}
