// Package explain serves operators' queries about a request or key on the admin
// address.
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
	return fx.Provide(kernel.AsAdminRoute(newAdminRoute))
}

// Response is the response to GET /v1/explain.
type Response struct {
	Slot  string            `json:"slot"`
	Shard *Shard            `json:"shard,omitempty"` // only for a key of a known service
	Lines []json.RawMessage `json:"lines"`           // log lines, oldest first
}

// Shard is the shard of a key with its owner and standby in this daemon's view.
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

func newAdminRoute(set settings.Daemon, c kernel.Control, ring *decisions.Ring) kernel.AdminRoute {
	e := &explainer{slot: set.Slot, control: c, ring: ring}
	return kernel.AdminRoute{Method: http.MethodGet, Path: "/v1/explain", Handler: e}
}

// ServeHTTP serves the queries ?request_id=ID and ?service=S&key=K; both may be
// combined.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	id, service, key := query.Get("request_id"), query.Get("service"), query.Get("key")
	if id == "" && (service == "" || key == "") {
		http.Error(w, `{"error":"request_id, or service and key, are required"}`, http.StatusBadRequest)
		return
	}
	resp := Response{Slot: e.slot, Lines: []json.RawMessage{}}
	if id != "" {
		resp.Lines = e.ring.Request(id)
	}
	if shardID, shard, ok := e.control.View().Lookup(service, key); ok {
		resp.Shard = e.describe(shardID, shard)
		resp.Lines = append(resp.Lines, e.ring.Shard(shardID.Service, shardID.Shard)...)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp) // an error means that the client has disconnected
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
