// Package explain answers operators' questions about a request or key on the
// admin port.
package explain

import (
	"encoding/json"
	"net/http"

	"go.uber.org/fx"

	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/decisions"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.explain", Module: module})
}

func module() fx.Option {
	return fx.Provide(kernel.AsAdminRoute(newRoute))
}

// Answer is the answer to GET /v1/explain.
type Answer struct {
	Slot  string            `json:"slot"`
	Shard *Shard            `json:"shard,omitempty"` // only for a key of a known service
	Lines []json.RawMessage `json:"lines"`           // log lines, oldest first
}

// Shard is the route of a key as this daemon sees it.
type Shard struct {
	Service       string `json:"service"`
	Shard         uint32 `json:"shard"`
	Generation    uint64 `json:"generation"`
	Owner         string `json:"owner"` // slot
	OwnerServer   string `json:"owner_backend_server"`
	Standby       string `json:"standby"` // slot
	ConfigVersion uint64 `json:"config_version"`
}

type explainer struct {
	slot    string
	control kernel.Control
	ring    *decisions.Ring
}

func newRoute(set settings.Daemon, c kernel.Control, ring *decisions.Ring) kernel.AdminRoute {
	e := &explainer{slot: set.Slot, control: c, ring: ring}
	return kernel.AdminRoute{Method: http.MethodGet, Path: "/v1/explain", Handler: e}
}

// ServeHTTP answers ?request_id=ID, or ?service=S&key=K.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	id, service, key := query.Get("request_id"), query.Get("service"), query.Get("key")
	if id == "" && (service == "" || key == "") {
		http.Error(w, `{"error":"request_id, or service and key, are required"}`, http.StatusBadRequest)
		return
	}
	answer := Answer{Slot: e.slot, Lines: []json.RawMessage{}}
	if id != "" {
		answer.Lines = e.ring.Request(id)
	}
	if shardID, shard, ok := e.control.View().Lookup(service, key); ok {
		answer.Shard = e.describe(shardID, shard)
		answer.Lines = append(answer.Lines, e.ring.Shard(shardID.Service, shardID.Shard)...)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the operator is gone if it fails
}

func (e *explainer) describe(id view.ShardID, shard view.Shard) *Shard {
	s := &Shard{
		Service: id.Service, Shard: id.Shard, Generation: shard.Generation,
		ConfigVersion: e.control.View().ConfigVersion,
	}
	if shard.Owner != nil {
		s.Owner = shard.Owner.Slot
		s.OwnerServer = shard.Owner.BackendName
	}
	if shard.Standby != nil {
		s.Standby = shard.Standby.Slot
	}
	return s
}
