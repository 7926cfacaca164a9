// Package deployment generates the settings of the processes of a deployment on one
// host from its description, for demos and experiments on loopback.
package deployment

import (
	"errors"
	"fmt"
	"os"

	"github.com/sesamemoor/sesamemoor/core/settings"
)

// Deployment describes data centres, services and teams.
type Deployment struct {
	Region      string    `json:"region"`
	DataCentres []string  `json:"data_centres"`
	Services    []Service `json:"services"`
	Teams       []Team    `json:"teams"`
}

// Service is a group of interchangeable backend servers, the workers.
type Service struct {
	Name          string `json:"name"`
	Workers       int    `json:"workers"`
	Slots         int    `json:"slots"`       // of each worker
	Connections   int    `json:"connections"` // of each worker
	ConnectTimeMS int    `json:"connect_time_ms"`
	ServiceTimeMS int    `json:"service_time_ms"`
	ChecksFence   bool   `json:"checks_fence"`
}

// Team is a tenant with its limits and the load that it sends.
type Team struct {
	Name       string   `json:"name"`
	Rate       float64  `json:"rate"` // limit in requests per second
	Burst      float64  `json:"burst"`
	Services   []string `json:"services"`
	Load       float64  `json:"load"`       // sent requests per second
	Idempotent float64  `json:"idempotent"` // share of idempotent requests in the load, 0 to 1
}

// ErrInvalid reports an invalid or unreadable deployment.
var ErrInvalid = errors.New("invalid deployment")

// maxWorkers is the maximum number of backend servers of a deployment on one host.
const maxWorkers = 200

// Load reads a deployment from a file of JSON with comments. Its errors wrap
// ErrInvalid.
func Load(file string) (Deployment, error) {
	var d Deployment
	if err := decodeFile(file, &d); err != nil {
		return Deployment{}, err
	}
	return d, d.check()
}

// decodeFile decodes a file of JSON with comments.
func decodeFile(file string, dst any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := settings.Decode(data, dst); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, file, err)
	}
	return nil
}

func (d Deployment) check() error {
	workers := 0
	known := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" || s.Workers < 1 || s.Slots < 1 {
			return fmt.Errorf("%w: services: each service requires name, workers and slots", ErrInvalid)
		}
		workers += s.Workers
		known[s.Name] = true
	}
	if d.Region == "" || len(d.DataCentres) == 0 || workers == 0 || workers > maxWorkers {
		return fmt.Errorf("%w: region, data_centres and 1 to %d workers are required", ErrInvalid, maxWorkers)
	}
	for _, t := range d.Teams {
		for _, s := range t.Services {
			if !known[s] {
				return fmt.Errorf("%w: team %s: no service %q", ErrInvalid, t.Name, s)
			}
		}
	}
	return nil
}
