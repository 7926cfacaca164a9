package toolsettings

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte("{\n// comment\n\"admin_addrs\": [\"127.0.0.1:1\"],\n}"))
	is.NoErr(err)
	is.Equal(s.PlatformURL, DefaultPlatformURL)
	is.Equal(len(s.AdminAddrs), 1)
}

func TestInvalidSettingsNameFieldOrLine(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\"unknown\": 1}":                 "line 2",
		"{} {}":                              "line 1",
		"{":                                  "line 1",
		`{"admin_addrs": ["localhost:1"]}`:   "admin_addrs[0]",
		`{"platform_url": "https://x"}`:      "platform_url",
		`{"key_hash_secret": "short"}`:       "key_hash_secret",
		`{"platform_url": 1}`:                "line 1",
		`{"admin_addrs": ["127.0.0.1"]}`:     "admin_addrs[0]",
		`{"admin_addrs": ["1.2.3.4:1", ""]}`: "admin_addrs[1]",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(text))
			is.True(errors.Is(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), want))
		})
	}
}
