// Package fleet defines the versioned configuration that operators change with
// patches: teams with their caller keys, rates and permitted services, the services,
// the routes, and the data centres and backend servers that are out of service.
//
// Every version satisfies the rules that Parse checks. Replay of the same records
// yields the same versions, see History.
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Config is one version of the configuration.
type Config struct {
	DataCentres    map[string]DataCentre    `json:"data_centres,omitempty"`
	Services       map[string]Service       `json:"services,omitempty"`
	Routes         map[string]Route         `json:"routes,omitempty"`
	Teams          map[string]Team          `json:"teams,omitempty"`
	BackendServers map[string]BackendServer `json:"backend_servers,omitempty"`
	HostRoutes     []HostRoute              `json:"host_routes,omitempty"`
	CallerLimits   CallerLimits             `json:"caller_limits,omitzero"`
}

// DataCentre is a data centre that may receive traffic.
type DataCentre struct {
	Region string `json:"region"`
	Out    bool   `json:"out,omitempty"` // taken out of service
}

// Service is a group of backend servers that partition the keys among themselves.
type Service struct {
	Region           string `json:"region"`
	Shards           uint32 `json:"shards"`
	MaxBodyBytes     int64  `json:"max_body_bytes,omitempty"`     // 0 means DefaultMaxBodyBytes
	DefaultTimeoutMS int64  `json:"default_timeout_ms,omitempty"` // 0 means DefaultTimeoutMS
	// KeySpace is the number of numeric keys, starting at 0, that the shards
	// partition into ranges; 0 means that the hash of a key selects its shard.
	KeySpace uint32 `json:"key_space,omitempty"`
	// Contiguous means that a backend server can hold a bounded number of key ranges, so
	// that neighbouring shards should have the same owner.
	Contiguous bool `json:"contiguous,omitempty"`
	// Keyless means that any backend server may run any request; Shards is 0.
	Keyless     bool    `json:"keyless,omitempty"`
	Connections uint32  `json:"connections,omitempty"`   // connections that each backend server accepts; 0 means no limit
	ColdStartMS int64   `json:"cold_start_ms,omitempty"` // time for which a backend server is cold after its start
	ColdPerS    float64 `json:"cold_per_s,omitempty"`    // capacity of a cold backend server in requests per second; 0 means no limit
}

// Route maps a path prefix to a service.
type Route struct {
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Key is the source of a request's key: "header:NAME", or "path:N" for the
	// Nth path segment after the prefix, counted from 0.
	Key string `json:"key"`
	// Idempotent lists methods that may be retried. Empty means GET and HEAD.
	Idempotent []string `json:"idempotent,omitempty"`
}

// Team is a tenant.
type Team struct {
	Rate        float64              `json:"rate"`  // requests per second, fleet-wide
	Burst       float64              `json:"burst"` // requests
	Services    []string             `json:"services"`
	DataCentres []string             `json:"data_centres,omitempty"` // empty means all
	Priority    *uint32              `json:"priority,omitempty"`     // overrides the priority of the route
	Keys        map[string]CallerKey `json:"keys,omitempty"`         // by key id
}

// CallerKey is a caller key of a team. The key itself is never stored.
type CallerKey struct {
	Hash      string `json:"hash"` // hex of the keyed hash, see package keyhash
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// BackendServer is the operator-set state of one backend server.
type BackendServer struct {
	Out bool `json:"out,omitempty"`
}

// Defaults of optional fields.
const (
	DefaultMaxBodyBytes = 1 << 20
	DefaultTimeoutMS    = 2000
)

// Limits of a configuration.
const (
	MaxShards       = 1 << 20
	maxConfigBytes  = 16 << 20
	maxPatchBytes   = 1 << 20
	maxProblemCount = 50
)

// ErrInvalid reports an invalid patch or configuration.
var ErrInvalid = errors.New("invalid configuration")

// nameRule is the rule for all names in a configuration.
var nameRule = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse decodes a configuration, rejects unknown fields, and checks its rules. The
// error wraps ErrInvalid.
func Parse(data []byte) (*Config, error) {
	if len(data) > maxConfigBytes {
		return nil, fmt.Errorf("%w: %d bytes exceed %d", ErrInvalid, len(data), maxConfigBytes)
	}
	var c Config
	if err := decodeStrictly(data, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return &c, nil
}

var errMoreData = errors.New("data after the document")

// check returns an error that wraps ErrInvalid and names the violated rules, or nil.
func (c *Config) check() error { return invalid(c.problems()) }

func invalid(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrInvalid, strings.Join(problems, "; "))
}

// ApplyPatch applies an RFC 7396 merge patch to the document and checks the result.
// It does not modify doc. The error wraps ErrInvalid.
func ApplyPatch(doc, patch []byte) ([]byte, *Config, error) {
	if len(patch) > maxPatchBytes {
		return nil, nil, fmt.Errorf("%w: patch of %d bytes exceeds %d", ErrInvalid, len(patch), maxPatchBytes)
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(patch, &object); err != nil {
		return nil, nil, fmt.Errorf("%w: patch is not a JSON object: %w", ErrInvalid, err)
	}
	merged, err := jsonpatch.MergePatch(doc, patch)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: merge: %w", ErrInvalid, err)
	}
	c, err := Parse(merged)
	if err != nil {
		return nil, nil, err
	}
	return merged, c, nil
}

// problems returns the violated rules, sorted, each with its field path. It returns at
// most maxProblemCount.
func (c *Config) problems() []string {
	var list []string
	add := func(format string, args ...any) {
		if len(list) < maxProblemCount {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	for name, dc := range c.DataCentres {
		checkName(add, "data_centres", name)
		if !nameRule.MatchString(dc.Region) {
			add("data_centres.%s.region: %q is not a valid name", name, dc.Region)
		}
	}
	for name, s := range c.Services {
		checkName(add, "services", name)
		c.checkService(add, name, s)
	}
	for name, r := range c.Routes {
		checkName(add, "routes", name)
		c.checkRoute(add, name, r)
	}
	for name, t := range c.Teams {
		checkName(add, "teams", name)
		c.checkTeam(add, name, t)
	}
	for i, r := range c.HostRoutes {
		c.checkHostRoute(add, i, r)
	}
	for name := range c.BackendServers {
		checkName(add, "backend_servers", name)
	}
	slices.Sort(list)
	return list
}

type addFunc func(format string, args ...any)

func checkName(add addFunc, field, name string) {
	if !nameRule.MatchString(name) {
		add("%s.%s: names are 1 to 63 of a-z, 0-9, '.', '_', '-' and start with a letter or digit", field, name)
	}
}

func (c *Config) checkService(add addFunc, name string, s Service) {
	if !nameRule.MatchString(s.Region) {
		add("services.%s.region: %q is not a valid name", name, s.Region)
	}
	if s.Keyless && s.Shards != 0 {
		add("services.%s.shards: a service without keys has none", name)
	}
	if s.KeySpace != 0 && s.KeySpace < s.Shards {
		add("services.%s.key_space: %d keys are fewer than %d shards", name, s.KeySpace, s.Shards)
	}
	if !s.Keyless && (s.Shards < 1 || s.Shards > MaxShards) {
		add("services.%s.shards: %d is not in 1 to %d", name, s.Shards, MaxShards)
	}
	if s.MaxBodyBytes < 0 || s.MaxBodyBytes > 8<<20 {
		add("services.%s.max_body_bytes: %d is not in 0 to %d", name, s.MaxBodyBytes, 8<<20)
	}
	if s.DefaultTimeoutMS < 0 || s.DefaultTimeoutMS > 600_000 {
		add("services.%s.default_timeout_ms: %d is not in 0 to 600000", name, s.DefaultTimeoutMS)
	}
}

func (c *Config) checkRoute(add addFunc, name string, r Route) {
	if !strings.HasPrefix(r.Prefix, "/") {
		add("routes.%s.prefix: %q does not start with '/'", name, r.Prefix)
	}
	if _, ok := c.Services[r.Service]; !ok {
		add("routes.%s.service: no service %q", name, r.Service)
	}
	if _, err := ParseKeySource(r.Key); err != nil {
		add("routes.%s.key: %v", name, err)
	}
}

func (c *Config) checkTeam(add addFunc, name string, t Team) {
	if t.Rate < 0 || t.Rate > 1e9 {
		add("teams.%s.rate: %v is not in 0 to 1e9", name, t.Rate)
	}
	if t.Burst < 0 || t.Burst > 1e9 {
		add("teams.%s.burst: %v is not in 0 to 1e9", name, t.Burst)
	}
	region := ""
	for _, service := range t.Services {
		svc, ok := c.Services[service]
		switch {
		case !ok:
			add("teams.%s.services: no service %q", name, service)
		case region != "" && svc.Region != region:
			add("teams.%s.services: %q is not in region %q like the others; a team's bucket is kept in one region", name, service, region)
		default:
			region = svc.Region
		}
	}
	for _, d := range t.DataCentres {
		if _, ok := c.DataCentres[d]; !ok {
			add("teams.%s.data_centres: no data centre %q", name, d)
		}
	}
	for id, k := range t.Keys {
		if !nameRule.MatchString(id) {
			add("teams.%s.keys: %q is not a valid name", name, id)
		}
		if len(k.Hash) != 64 {
			add("teams.%s.keys.%s.hash: not 64 hex digits", name, id)
		}
	}
}
