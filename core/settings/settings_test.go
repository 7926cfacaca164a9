package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validFile = `{
  // identity
  "slot": "d1", "data_centre": "a", "region": "r",
  "peer_addr": "127.0.0.1:1", "witness_addr": "127.0.0.1:2",
  "entry_addr": "127.0.0.1:3", "admin_addr": "127.0.0.1:4",
  "platform_url": "http://127.0.0.1:5", "key_hash_secret": "0123456789abcdef",
}`

func TestValidFile(t *testing.T) {
	is := is.New(t)
	d, err := ParseDaemon([]byte(validFile))
	is.NoErr(err)
	is.Equal(d.Slot, "d1")
	is.Equal(d.Limits.MaxInflight, Default().Limits.MaxInflight)
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := ParseDaemon([]byte(`{
  "slot": 5, "data_centre": "a", "region": "r", "region": "s",
  "peer_addr": "localhost:1", "witness_addr": "127.0.0.1:2",
  "entry_addr": "127.0.0.1:3", "admin_addr": "127.0.0.1:4",
  "platform_url": "http://127.0.0.1:5", "key_hash_secret": "short",
  "shutdown_grace": 1,
  "lease": {"term_ms": "long", "witnesses": 4},
  "limits": [],
}`))
	is.True(errors.Is(err, ErrInvalid))
	want := []string{
		"line 2, column 11: slot: 5 instead of a string",
		"line 2, column 49: region: duplicate field",
		"line 6, column 3: shutdown_grace: unknown field",
		`line 7, column 24: lease.term_ms: "long" instead of an integer of type int64`,
		"line 8, column 13: limits: an array instead of an object",
		"peer_addr: \"localhost\" is not an IP address",
		"key_hash_secret: shorter than 16 bytes",
		"lease.witnesses: 4 is not 1, 3, 5 or 7",
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("error does not contain %q", w)
		}
	}
	if got := strings.Count(err.Error(), "\n"); got != len(want) {
		t.Errorf("got %d problems, want %d: %v", got, len(want), err)
	}
}

func TestSyntaxErrorNamesItsPosition(t *testing.T) {
	is := is.New(t)
	_, err := ParseDaemon([]byte("{\n  \"slot\": }"))
	is.True(errors.Is(err, ErrInvalid))
	is.True(strings.Contains(err.Error(), "line 2"))
}

func TestPlatformInterfaceRequiresAddresses(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validFile, `"slot": "d1"`, `"interface": "platform", "slot": "d1", "metrics_addr": "here", "bounds": {"drain_s": 0, "cold_overage": 0.5, "retry_extra": -1, "log_reader_centres": -1}`, 1)
	_, err := ParseDaemon([]byte(text))
	is.True(errors.Is(err, ErrInvalid))
	for _, want := range []string{
		"ready_addr: ", "announce_addr: ", "backend_service: required", "bounds.drain_s: 0 is not positive",
		"bounds.cold_overage: 0.5 is below 1", "bounds.retry_extra: -1 is negative", "bounds.log_reader_centres: -1 is negative", "metrics_addr: ",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in the error: %v", want, err)
		}
	}
	_, err = ParseDaemon([]byte(strings.Replace(validFile, `"slot": "d1"`, `"interface": "other", "slot": "d1"`, 1)))
	is.True(err != nil && strings.Contains(err.Error(), `interface: "other" is not one of native, platform`))
}
