// Package toolsettings reads the settings file of sesamemoorctl, which is JSON with
// comments. Validation reports all problems of a file at once.
package toolsettings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"

	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/settings"
)

// Environment variables that are used in the absence of a flag or setting: EnvFile of
// -settings, EnvSecret of key_hash_secret.
const (
	EnvFile   = "SESAMEMOORCTL_SETTINGS"
	EnvSecret = "SESAMEMOOR_KEY_HASH_SECRET"
)

// DefaultPlatformURL is used if neither the file nor a flag sets the URL.
const DefaultPlatformURL = "http://127.0.0.1:7000"

// Settings are the settings of the tool.
type Settings struct {
	PlatformURL   string   `json:"platform_url"`
	AdminAddrs    []string `json:"admin_addrs"`     // admin addresses of the daemons
	KeyHashSecret string   `json:"key_hash_secret"` // required only to issue caller keys
}

// ErrInvalid reports invalid or unreadable settings. The message lists every problem
// found, one per line, with its field path.
var ErrInvalid = errors.New("invalid tool settings")

// Load reads the file at path, or returns the defaults if path is empty. If the file
// has no hash secret, the secret is read from the environment variable EnvSecret. Its
// errors wrap ErrInvalid.
func Load(path string) (Settings, error) {
	s := Settings{PlatformURL: DefaultPlatformURL}
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		if s, err = Parse(data); err != nil {
			return Settings{}, fmt.Errorf("%s: %w", path, err)
		}
	}
	if s.KeyHashSecret == "" {
		s.KeyHashSecret = os.Getenv(EnvSecret)
	}
	return s, nil
}

// Parse decodes settings from JSON with comments and validates them.
func Parse(data []byte) (Settings, error) {
	s := Settings{PlatformURL: DefaultPlatformURL}
	if err := settings.Decode(data, &s); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if problems := s.Problems(); len(problems) > 0 {
		return Settings{}, fmt.Errorf("%w:\n  %s", ErrInvalid, strings.Join(problems, "\n  "))
	}
	return s, nil
}

// Problems returns a text with the field path for each rule that s breaks.
func (s Settings) Problems() []string {
	var list []string
	if u, err := url.Parse(s.PlatformURL); err != nil || u.Scheme != "http" || u.Host == "" {
		list = append(list, fmt.Sprintf("platform_url: %q is not an http URL", s.PlatformURL))
	}
	for i, addr := range s.AdminAddrs {
		host, _, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(host) == nil {
			list = append(list, fmt.Sprintf("admin_addrs[%d]: %q is not IP:PORT", i, addr))
		}
	}
	if s.KeyHashSecret != "" && len(s.KeyHashSecret) < keyhash.MinSecretBytes {
		list = append(list, fmt.Sprintf("key_hash_secret: shorter than %d bytes", keyhash.MinSecretBytes))
	}
	return list
}
