// Package adminapi defines the JSON messages of the daemon's admin port that the
// daemon and its clients share.
package adminapi

// Status is the response of a daemon to GET /v1/status.
type Status struct {
	Slot          string `json:"slot"`
	DataCentre    string `json:"data_centre"`
	Incarnation   uint64 `json:"incarnation"`
	LeaseHeld     bool   `json:"lease_held"`
	ConfigVersion uint64 `json:"config_version"`
	ConfigAgeMS   int64  `json:"config_age_ms"` // time since the complete configuration was last known
	ConfigStale   bool   `json:"config_stale"`  // callers are refused until the configuration is known again
	// NewerRecords is the number of log records in newer formats or of kinds that
	// this daemon does not support.
	NewerRecords  uint64      `json:"newer_records"`
	BackendServer string      `json:"backend_server"`
	Leaving       bool        `json:"leaving"`
	Held          []HeldShard `json:"held"`
}

// HeldShard is a shard that the daemon owns.
type HeldShard struct {
	Service    string `json:"service"`
	Shard      uint32 `json:"shard"`
	Generation uint64 `json:"generation"`
}
