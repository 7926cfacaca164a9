// Package adminapi holds the messages of the daemon's admin port that both
// sides read.
package adminapi

// Status is a daemon's answer to GET /v1/status.
type Status struct {
	Slot          string `json:"slot"`
	DataCentre    string `json:"data_centre"`
	Incarnation   uint64 `json:"incarnation"`
	LeaseHeld     bool   `json:"lease_held"`
	ConfigVersion uint64 `json:"config_version"`
	ConfigAgeMS   int64  `json:"config_age_ms"` // since the whole configuration was last known
	ConfigStale   bool   `json:"config_stale"`  // callers are refused until it is known again
	// NewerRecords counts records of the log that this daemon is too old to
	// understand.
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
