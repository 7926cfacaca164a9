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

// Bounds of one question to a daemon.
const (
	askTimeout     = time.Second
	maxAnswerBytes = 8 << 20
	pollInterval   = 50 * time.Millisecond
)

// DaemonStatus is a daemon's answer about its state.
type DaemonStatus struct {
	adminapi.Status
	Admin string `json:"admin"`
	Error string `json:"error,omitempty"` // why there is no answer
}

// Shards returns how many shards of the service the daemon owns.
func (s DaemonStatus) Shards(service string) int {
	n := 0
	for _, h := range s.Held {
		if h.Service == service {
			n++
		}
	}
	return n
}

// Daemons asks daemons at their admin addresses.
type Daemons struct {
	Addrs  []string
	Client *http.Client
}

// NewDaemons returns a client of the daemons at the admin addresses.
func NewDaemons(addrs []string) *Daemons {
	return &Daemons{Addrs: addrs, Client: &http.Client{Timeout: askTimeout}}
}

// Status asks all daemons at once and returns their answers in the order of
// their addresses.
func (d *Daemons) Status(ctx context.Context) []DaemonStatus {
	return askAll(d, func(addr string) DaemonStatus {
		var st DaemonStatus
		if err := d.get(ctx, addr, "/v1/status", nil, &st); err != nil {
			st.Error = err.Error()
		}
		st.Admin = addr
		return st
	})
}

// askAll calls ask for each address at once and keeps the order.
func askAll[T any](d *Daemons, ask func(addr string) T) []T {
	answers := make([]T, len(d.Addrs))
	var wg sync.WaitGroup
	for i, addr := range d.Addrs {
		wg.Go(func() { answers[i] = ask(addr) })
	}
	wg.Wait()
	return answers
}

func (d *Daemons) get(ctx context.Context, addr, path string, query url.Values, answer any) error {
	target := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	resp, err := d.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer)
}

// Force tells how far a version is in force in one data centre.
type Force struct {
	DataCentre  string `json:"data_centre"` // "unreachable" for daemons without an answer
	Daemons     int    `json:"daemons"`
	InForce     int    `json:"in_force"`
	LowestSeen  uint64 `json:"lowest_version"`
	Unreachable bool   `json:"unreachable,omitempty"`
}

// unreachableName groups daemons whose data centre is not known.
const unreachableName = "unreachable"

// Wait polls until every daemon has the version or ctx ends. With
// skipUnreachable, daemons that do not answer do not hold it up.
func (d *Daemons) Wait(ctx context.Context, version uint64, skipUnreachable bool) ([]Force, bool) {
	statuses, missing := d.poll(ctx, func(statuses []DaemonStatus) []string {
		if allInForce(forceOf(statuses, version), skipUnreachable) {
			return nil
		}
		return []string{"not in force"}
	})
	return forceOf(statuses, version), len(missing) == 0
}

func forceOf(statuses []DaemonStatus, version uint64) []Force {
	byName := map[string]*Force{}
	for _, st := range statuses {
		name := st.DataCentre
		if st.Error != "" {
			name = unreachableName
		}
		row, ok := byName[name]
		if !ok {
			row = &Force{DataCentre: name, LowestSeen: st.ConfigVersion, Unreachable: st.Error != ""}
			byName[name] = row
		}
		row.Daemons++
		row.LowestSeen = min(row.LowestSeen, st.ConfigVersion)
		if st.Error == "" && st.ConfigVersion >= version {
			row.InForce++
		}
	}
	rows := make([]Force, 0, len(byName))
	for _, row := range byName {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Force) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return rows
}

func allInForce(rows []Force, skipUnreachable bool) bool {
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

// Explanation is what one daemon knows about a request or key.
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

// Explain asks all daemons about a request id, or about the key of a service.
func (d *Daemons) Explain(ctx context.Context, requestID, service, key string) []Explanation {
	query := url.Values{}
	for name, value := range map[string]string{"request_id": requestID, "service": service, "key": key} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return askAll(d, func(addr string) Explanation {
		var ex Explanation
		if err := d.get(ctx, addr, "/v1/explain", query, &ex); err != nil {
			ex.Error = err.Error()
		}
		ex.Admin = addr
		return ex
	})
}
