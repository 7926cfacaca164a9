package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/adminapi"
)

// Limits of requests to daemons.
const (
	requestTimeout   = time.Second
	maxResponseBytes = 8 << 20
	pollInterval     = 50 * time.Millisecond
)

// DaemonStatus is the state of one daemon, or the error of the request for it.
type DaemonStatus struct {
	adminapi.Status
	Admin string `json:"admin"`
	Error string `json:"error,omitempty"` // why the request failed
}

// Shards returns the number of shards of the service that the daemon owns.
func (s DaemonStatus) Shards(service string) int {
	n := 0
	for _, h := range s.Held {
		if h.Service == service {
			n++
		}
	}
	return n
}

// AdminClient queries daemons at their admin addresses.
type AdminClient struct {
	Addrs  []string
	Client *http.Client
}

// NewAdminClient returns a client of the daemons at the admin addresses.
func NewAdminClient(addrs []string) *AdminClient {
	return &AdminClient{Addrs: addrs, Client: &http.Client{Timeout: requestTimeout}}
}

// Status queries all daemons concurrently and returns their states in the order
// of Addrs.
func (c *AdminClient) Status(ctx context.Context) []DaemonStatus {
	return queryAll(c, func(addr string) DaemonStatus {
		var st DaemonStatus
		if err := c.get(ctx, addr, "/v1/status", nil, &st); err != nil {
			st.Error = err.Error()
		}
		st.Admin = addr
		return st
	})
}

// queryAll calls query for all addresses concurrently and returns the results in
// the order of the addresses.
func queryAll[T any](d *AdminClient, query func(addr string) T) []T {
	results := make([]T, len(d.Addrs))
	var wg sync.WaitGroup
	for i, addr := range d.Addrs {
		wg.Go(func() { results[i] = query(addr) })
	}
	wg.Wait()
	return results
}

func (c *AdminClient) get(ctx context.Context, addr, path string, query url.Values, result any) error {
	target := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result)
}

// Rollout counts the daemons of one data centre in which a version is in force.
type Rollout struct {
	DataCentre    string `json:"data_centre"` // "unreachable" for daemons that did not answer
	Daemons       int    `json:"daemons"`
	InForce       int    `json:"in_force"`
	LowestVersion uint64 `json:"lowest_version"`
	Unreachable   bool   `json:"unreachable,omitempty"`
}

// unreachableName groups the daemons that did not answer; their data centre is
// unknown.
const unreachableName = "unreachable"

// Wait polls until the version, or a later one, is in force at every daemon or ctx
// ends, and reports whether it is. With skipUnreachable it ignores daemons that do
// not answer, but at least one daemon must answer.
func (c *AdminClient) Wait(ctx context.Context, version uint64, skipUnreachable bool) ([]Rollout, bool) {
	statuses, problems := c.poll(ctx, func(statuses []DaemonStatus) []string {
		if rolloutComplete(rolloutByDataCentre(statuses, version), skipUnreachable) {
			return nil
		}
		return []string{"not in force"}
	})
	return rolloutByDataCentre(statuses, version), len(problems) == 0
}

func rolloutByDataCentre(statuses []DaemonStatus, version uint64) []Rollout {
	byName := map[string]*Rollout{}
	for _, st := range statuses {
		name := st.DataCentre
		if st.Error != "" {
			name = unreachableName
		}
		row, ok := byName[name]
		if !ok {
			row = &Rollout{DataCentre: name, LowestVersion: st.ConfigVersion, Unreachable: st.Error != ""}
			byName[name] = row
		}
		row.Daemons++
		row.LowestVersion = min(row.LowestVersion, st.ConfigVersion)
		if st.Error == "" && st.ConfigVersion >= version {
			row.InForce++
		}
	}
	rows := make([]Rollout, 0, len(byName))
	for _, row := range byName {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Rollout) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return rows
}

func rolloutComplete(rows []Rollout, skipUnreachable bool) bool {
	answered := false
	for _, row := range rows {
		if row.Unreachable {
			if !skipUnreachable {
				return false
			}
			continue
		}
		answered = true
		if row.InForce < row.Daemons {
			return false
		}
	}
	return answered
}

// Explanation holds what one daemon knows about a request or key.
type Explanation struct {
	Admin string            `json:"admin"`
	Slot  string            `json:"slot"`
	Error string            `json:"error,omitempty"`
	Shard *ShardRoute       `json:"shard,omitempty"`
	Lines []json.RawMessage `json:"lines"` // log lines, oldest first
}

// ShardRoute is the route of a key as a daemon sees it.
type ShardRoute struct {
	Service       string `json:"service"`
	Shard         uint32 `json:"shard"`
	Generation    uint64 `json:"generation"`
	Owner         string `json:"owner"`
	OwnerServer   string `json:"owner_backend_server"`
	Standby       string `json:"standby"`
	ConfigVersion uint64 `json:"config_version"`
}

// Explain queries all daemons for a request id, or for a key of a service.
func (c *AdminClient) Explain(ctx context.Context, requestID, service, key string) []Explanation {
	query := url.Values{}
	for name, value := range map[string]string{"request_id": requestID, "service": service, "key": key} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return queryAll(c, func(addr string) Explanation {
		var ex Explanation
		if err := c.get(ctx, addr, "/v1/explain", query, &ex); err != nil {
			ex.Error = err.Error()
		}
		ex.Admin = addr
		return ex
	})
}
