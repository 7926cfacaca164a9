// Package settings decodes and validates the settings file of a process: JSON with
// comments and trailing commas. The whole file is validated before the process starts
// any component, and all problems are reported at once.
package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/lease"
)

// Daemon holds the settings of one sesamemoord process.
type Daemon struct {
	Slot       string `json:"slot"` // unique name of the daemon's slot
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`

	PeerAddr    string `json:"peer_addr"`    // TCP, other daemons
	WitnessAddr string `json:"witness_addr"` // UDP, leases
	EntryAddr   string `json:"entry_addr"`   // TCP, callers
	AdminAddr   string `json:"admin_addr"`   // TCP, backend server, operators, metrics
	MetricsAddr string `json:"metrics_addr"` // TCP, only metrics, for monitoring that expects a separate port; "" for none

	// Advertise holds the addresses at which others reach this daemon, if they
	// differ from the listen addresses.
	Advertise Advertise `json:"advertise"`

	// Interface selects the protocols toward callers, the backend server and the
	// platform: "native", the default, or "platform", implemented by package
	// platform.
	Interface string `json:"interface"`
	// ReadyAddr (readiness probes) and AnnounceAddr (announcements of the backend
	// server) are served only with the interface "platform".
	ReadyAddr    string `json:"ready_addr"`
	AnnounceAddr string `json:"announce_addr"`
	// BackendService is the service of this daemon's backend server. Other servers
	// receive it as the calling service of its requests.
	BackendService string `json:"backend_service"`

	PlatformURL   string `json:"platform_url"`
	KeyHashSecret string `json:"key_hash_secret"`

	Lease  Lease  `json:"lease"`
	Limits Limits `json:"limits"`
	Policy Policy `json:"policy"`
	Bounds Bounds `json:"bounds"`

	LogLevel        string `json:"log_level"`         // debug, info, warn or error
	ShutdownGraceMS int64  `json:"shutdown_grace_ms"` // time for running requests to finish after SIGTERM
}

// Advertise holds the addresses announced to other daemons. An empty field selects the
// listen address.
type Advertise struct {
	PeerAddr    string `json:"peer_addr"`
	WitnessAddr string `json:"witness_addr"`
	EntryAddr   string `json:"entry_addr"`
}

// Values of Policy fields.
const (
	StragglersMeasured = "measured"
	StragglersReported = "reported"
	HotKeysSplit       = "split"
)

// Lease holds the durations of membership leases.
type Lease struct {
	TermMS int64 `json:"term_ms"` // duration of a lease
	// MaxTermMS is the longest duration of a lease, for services whose requests may run for
	// long; 0 means term_ms. It must not be set before all daemons support it.
	MaxTermMS int64 `json:"max_term_ms"`
	RenewMS   int64 `json:"renew_ms"`  // interval between renewals
	DriftPPM  int64 `json:"drift_ppm"` // maximum clock rate error of a host, in parts per million
	SettleMS  int64 `json:"settle_ms"` // time to wait for other slots before the first join
	Witnesses int   `json:"witnesses"` // odd
}

// Limits bounds the resources of one daemon.
type Limits struct {
	MaxInflight   int   `json:"max_inflight"`        // concurrent requests accepted by the entry
	MaxQueue      int   `json:"max_queue"`           // requests waiting for the backend server
	RequestIDs    int   `json:"request_ids"`         // rows of the request-id table
	BackendConns  int   `json:"backend_connections"` // connections to the backend server
	StaleConfigMS int64 `json:"stale_config_ms"`     // time since the configuration was last known to be current, after which callers are refused
	CallerLimits
}

// CallerLimits bounds what a daemon holds on behalf of callers. A value of 0 is derived from
// the memory of the process and its limit of descriptors.
type CallerLimits struct {
	CallerConnections  int   `json:"caller_connections"`   // open connections of callers
	CallerConnectionKB int64 `json:"caller_connection_kb"` // memory held for one connection
	CallerEntryMB      int64 `json:"caller_entry_mb"`      // memory held for all connections of callers
	CallerMemoryMB     int64 `json:"caller_memory_mb"`     // memory held for callers and for requests of other daemons
	CallerSocketKB     int   `json:"caller_socket_kb"`     // send buffer of a connection in the kernel, which takes twice as much; the receive buffer has a quarter
	CallerStallMS      int64 `json:"caller_stall_ms"`      // time for which a caller may take no byte of its answer while memory is short
}

// Values of Daemon.Interface.
const (
	InterfaceNative   = "native"
	InterfacePlatform = "platform"
)

// Bounds holds the limits that a deployment sets for the whole fleet.
type Bounds struct {
	DrainS              float64 `json:"drain_s"`               // maximum time from the acknowledged leave of a backend server to its last request
	RetryRatio          float64 `json:"retry_ratio"`           // retries allowed per request of a service
	RetryWindowS        float64 `json:"retry_window_s"`        // window over which retries are counted
	RetryExtra          float64 `json:"retry_extra"`           // retries allowed per window beyond the ratio
	MaxHoldS            float64 `json:"max_hold_s"`            // maximum time for which keys may be granted
	ColdOverage         float64 `json:"cold_overage"`          // maximum requests per second to a cold backend server, as a multiple of its capacity
	ColdSlack           float64 `json:"cold_slack"`            // requests per second allowed beyond that
	AnnounceIntervalS   float64 `json:"announce_interval_s"`   // interval of a backend server's announcements
	MemoryMB            int64   `json:"memory_mb"`             // memory of the process
	LinkMbps            float64 `json:"link_mbps"`             // rate of the instance's network link in megabits per second; 0 means not limited
	RangeShards         uint32  `json:"range_shards"`          // number of shards of a service with numeric keys
	RecordRing          uint64  `json:"record_ring"`           // number of newest records of each author that the log keeps permanently
	LogReadersPerCentre int     `json:"log_readers"`           // number of daemons per data centre that read the log themselves
	LogReaderCentres    int     `json:"log_reader_centres"`    // number of data centres per region whose daemons read the log; daemons of the others follow them; 0 means all
	ConfigApplyS        float64 `json:"config_apply_s"`        // time within which a version of the configuration must be in force at all daemons; one that knows of a newer version refuses callers after it
	LogWaitMS           int     `json:"log_wait_ms"`           // maximum wait of one read for configuration records
	LogPlacementWaitMS  int     `json:"log_placement_wait_ms"` // maximum wait of one read for placement records; unlike the configuration, the placement need not be confirmed as current
	LogStaleMS          int     `json:"log_stale_ms"`          // time since the configuration was last known to be current, above which peers are queried
	LogSurveyMS         int     `json:"log_survey_ms"`         // interval between these queries
	LogGatherMS         int     `json:"log_gather_ms"`         // pause after new log records, so that one read returns several
	ExposureShare       float64 `json:"exposure_share"`        // share of a service's requests that a bad version may get during its roll-out; 0 means that there are no roll-outs
	ExposureSlack       float64 `json:"exposure_slack"`        // requests allowed beyond that share
	RollbackS           float64 `json:"rollback_s"`            // time after the 50th bad answer of a version after which it gets no request any more
	GraceS              float64 `json:"grace_s"`               // time from SIGTERM until the process is killed; 0 means shutdown_grace_ms
}

// killMargin is the part of the time before the platform kills the process that is left
// unused.
const killMargin = 400 * time.Millisecond

// StopTime returns the time from SIGTERM until the process has stopped, or 0 if the platform
// sets no limit.
func (b Bounds) StopTime() time.Duration {
	if b.GraceS == 0 {
		return 0
	}
	return max(0, time.Duration(b.GraceS*float64(time.Second))-killMargin)
}

// Policy selects each policy or its naive baseline, for experiments.
type Policy struct {
	ColdStart  string `json:"cold_start"` // "ramp" or "none"
	Stragglers string `json:"stragglers"` // "measured", "reported" or "none"
	HotKeys    string `json:"hot_keys"`   // "split" or "none"
	Queue      string `json:"queue"`      // "fair" or "fifo"
	Retries    string `json:"retries"`    // "budget" or "naive"
}

// Default returns the default values of optional settings.
func Default() Daemon {
	return Daemon{
		Lease: Lease{TermMS: 1200, RenewMS: 400, DriftPPM: 20_000, SettleMS: 1500, Witnesses: 3},
		Limits: Limits{
			MaxInflight: 4096, MaxQueue: 512, RequestIDs: 200_000, BackendConns: 64, StaleConfigMS: 5000,
			CallerLimits: CallerLimits{CallerSocketKB: 64, CallerStallMS: 5000},
		},
		Policy: Policy{
			ColdStart: "ramp", Stragglers: "measured", HotKeys: "split", Queue: "fair", Retries: "budget",
		},
		Interface: InterfaceNative,
		Bounds: Bounds{
			DrainS: 2, RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 30, MaxHoldS: 10, ColdOverage: 1, AnnounceIntervalS: 1,
			RangeShards: 64, RecordRing: 512, LogReadersPerCentre: 3, ConfigApplyS: 5, LogWaitMS: 1000,
			LogPlacementWaitMS: 1000, LogStaleMS: 2500, LogSurveyMS: 1000,
		},
		LogLevel:        "info",
		ShutdownGraceMS: 10_000,
	}
}

// ErrInvalid reports invalid settings. The message lists every problem on its own line,
// with the file position or the field path.
var ErrInvalid = errors.New("invalid settings")

// LoadDaemon reads and validates the settings file at path. The error wraps ErrInvalid.
func LoadDaemon(path string) (Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	d, err := ParseDaemon(data)
	if err != nil {
		return Daemon{}, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// ParseDaemon decodes settings from JSON with comments and validates them. The error
// wraps ErrInvalid.
func ParseDaemon(data []byte) (Daemon, error) {
	d := Default()
	var problems []string
	reported := map[string]bool{}
	if err := Decode(data, &d); err != nil {
		for _, e := range joinedErrors(err) {
			problems = append(problems, e.Error())
			var field *FieldError
			if !errors.As(e, &field) {
				return Daemon{}, fmt.Errorf("%w:\n  %w", ErrInvalid, e)
			}
			reported[field.Field] = true
		}
	}
	for _, p := range d.Problems() {
		field, _, _ := strings.Cut(p, ":")
		if !reported[field] {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return Daemon{}, fmt.Errorf("%w:\n  %s", ErrInvalid, strings.Join(problems, "\n  "))
	}
	return d, nil
}

// joinedErrors returns the errors that err joins, or err itself if it joins none.
func joinedErrors(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// Problems returns every rule that d violates, each with its field path.
func (d Daemon) Problems() []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	required := []struct{ field, value string }{
		{"slot", d.Slot}, {"data_centre", d.DataCentre}, {"region", d.Region},
	}
	for _, r := range required {
		if r.value == "" {
			add("%s: required", r.field)
		}
	}
	addrs := []struct{ field, value string }{
		{"peer_addr", d.PeerAddr}, {"witness_addr", d.WitnessAddr},
		{"entry_addr", d.EntryAddr}, {"admin_addr", d.AdminAddr},
	}
	for _, a := range addrs {
		if err := checkAddr(a.value); err != nil {
			add("%s: %v", a.field, err)
		}
	}
	optional := []struct{ field, value string }{
		{"metrics_addr", d.MetricsAddr},
		{"advertise.peer_addr", d.Advertise.PeerAddr},
		{"advertise.witness_addr", d.Advertise.WitnessAddr},
		{"advertise.entry_addr", d.Advertise.EntryAddr},
	}
	for _, a := range optional {
		if a.value == "" {
			continue
		}
		if err := checkAddr(a.value); err != nil {
			add("%s: %v", a.field, err)
		}
	}
	if u, err := url.Parse(d.PlatformURL); err != nil || u.Scheme != "http" || u.Host == "" {
		add("platform_url: %q is not an http URL", d.PlatformURL)
	}
	if len(d.KeyHashSecret) < keyhash.MinSecretBytes {
		add("key_hash_secret: shorter than %d bytes", keyhash.MinSecretBytes)
	}
	d.Lease.check(add)
	d.Limits.check(add)
	d.Policy.check(add)
	d.checkInterface(add)
	d.Bounds.check(add)
	checkChoice(add, "log_level", d.LogLevel, "debug", "info", "warn", "error")
	if d.ShutdownGraceMS < 0 {
		add("shutdown_grace_ms: must not be negative")
	}
	return list
}

func checkAddr(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	return nil
}

type addFunc func(format string, args ...any)

// checkInterface checks the interface and the fields that "platform" requires.
func (d Daemon) checkInterface(add addFunc) {
	checkChoice(add, "interface", d.Interface, InterfaceNative, InterfacePlatform)
	if d.Interface != InterfacePlatform {
		return
	}
	for _, a := range []struct{ field, value string }{{"ready_addr", d.ReadyAddr}, {"announce_addr", d.AnnounceAddr}} {
		if err := checkAddr(a.value); err != nil {
			add("%s: %v", a.field, err)
		}
	}
	if d.BackendService == "" {
		add("backend_service: required with the interface %q", InterfacePlatform)
	}
}

func (b Bounds) check(add addFunc) {
	positive := []struct {
		field string
		value float64
	}{
		{"drain_s", b.DrainS}, {"max_hold_s", b.MaxHoldS}, {"announce_interval_s", b.AnnounceIntervalS},
		{"range_shards", float64(b.RangeShards)}, {"record_ring", float64(b.RecordRing)},
		{"log_readers", float64(b.LogReadersPerCentre)}, {"config_apply_s", b.ConfigApplyS}, {"log_wait_ms", float64(b.LogWaitMS)},
		{"log_placement_wait_ms", float64(b.LogPlacementWaitMS)}, {"log_stale_ms", float64(b.LogStaleMS)},
		{"log_survey_ms", float64(b.LogSurveyMS)},
	}
	for _, p := range positive {
		if p.value <= 0 {
			add("bounds.%s: %v is not positive", p.field, p.value)
		}
	}
	for _, p := range []struct {
		field string
		value float64
	}{
		{"retry_ratio", b.RetryRatio}, {"retry_extra", b.RetryExtra}, {"cold_slack", b.ColdSlack},
		{"log_gather_ms", float64(b.LogGatherMS)}, {"log_reader_centres", float64(b.LogReaderCentres)}, {"grace_s", b.GraceS}, {"memory_mb", float64(b.MemoryMB)},
		{"link_mbps", b.LinkMbps}, {"exposure_slack", b.ExposureSlack}, {"rollback_s", b.RollbackS},
	} {
		if p.value < 0 {
			add("bounds.%s: %v is negative", p.field, p.value)
		}
	}
	if b.ExposureShare < 0 || b.ExposureShare >= 1 {
		add("bounds.exposure_share: %v is not in 0 to below 1", b.ExposureShare)
	}
	if b.ExposureShare > 0 && b.RollbackS == 0 {
		add("bounds.rollback_s: required with exposure_share")
	}
	if b.ColdOverage < 1 {
		add("bounds.cold_overage: %v is below 1", b.ColdOverage)
	}
}

func (l Lease) check(add addFunc) {
	if l.TermMS < 100 || l.TermMS > 60_000 {
		add("lease.term_ms: %d is not in 100 to 60000", l.TermMS)
	}
	if l.MaxTermMS != 0 && (l.MaxTermMS < l.TermMS || l.MaxTermMS > lease.MaxTerms*l.TermMS) {
		add("lease.max_term_ms: %d is neither 0 nor in term_ms to %d times term_ms", l.MaxTermMS, lease.MaxTerms)
	}
	if l.RenewMS < 10 || l.RenewMS*2 > l.TermMS {
		add("lease.renew_ms: %d is not in 10 to half of term_ms", l.RenewMS)
	}
	if l.DriftPPM < 0 || l.DriftPPM > 200_000 {
		add("lease.drift_ppm: %d is not in 0 to 200000", l.DriftPPM)
	}
	if l.SettleMS < 0 {
		add("lease.settle_ms: must not be negative")
	}
	if l.Witnesses < 1 || l.Witnesses > 7 || l.Witnesses%2 == 0 {
		add("lease.witnesses: %d is not 1, 3, 5 or 7", l.Witnesses)
	}
}

func (l Limits) check(add addFunc) {
	positive := []struct {
		field string
		value int64
	}{
		{"max_inflight", int64(l.MaxInflight)}, {"max_queue", int64(l.MaxQueue)},
		{"request_ids", int64(l.RequestIDs)}, {"backend_connections", int64(l.BackendConns)},
		{"stale_config_ms", l.StaleConfigMS},
	}
	for _, p := range positive {
		if p.value < 1 {
			add("limits.%s: %d is not positive", p.field, p.value)
		}
	}
	l.CallerLimits.check(add)
}

func (p Policy) check(add addFunc) {
	checkChoice(add, "policy.cold_start", p.ColdStart, "ramp", "none")
	checkChoice(add, "policy.stragglers", p.Stragglers, "measured", "reported", "none")
	checkChoice(add, "policy.hot_keys", p.HotKeys, "split", "none")
	checkChoice(add, "policy.queue", p.Queue, "fair", "fifo")
	checkChoice(add, "policy.retries", p.Retries, "budget", "naive")
}

func checkChoice(add addFunc, field, value string, choices ...string) {
	for _, c := range choices {
		if value == c {
			return
		}
	}
	add("%s: %q is not one of %s", field, value, strings.Join(choices, ", "))
}
