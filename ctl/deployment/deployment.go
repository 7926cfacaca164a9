// Package deployment turns the description of a deployment into the settings
// of its processes on one host.
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

// Service is a group of equal backend servers.
type Service struct {
	Name          string `json:"name"`
	Workers       int    `json:"workers"`
	Slots         int    `json:"slots"`       // of each worker
	Connections   int    `json:"connections"` // of each worker
	ConnectTimeMS int    `json:"connect_time_ms"`
	ServiceTimeMS int    `json:"service_time_ms"`
	ChecksFence   bool   `json:"checks_fence"`
}

// Team is a tenant with the load that it sends in the demo.
type Team struct {
	Name       string   `json:"name"`
	Rate       float64  `json:"rate"` // limit, requests per second
	Burst      float64  `json:"burst"`
	Services   []string `json:"services"`
	Load       float64  `json:"load"`       // requests per second sent
	Idempotent float64  `json:"idempotent"` // share of the load
}

// ErrInvalid reports a deployment that cannot be used.
var ErrInvalid = errors.New("invalid deployment")

// maxProcesses bounds the backend servers of a deployment on one host.
const maxProcesses = 200

// Load reads a deployment from JSON with comments.
func Load(file string) (Deployment, error) {
	var d Deployment
	if err := readInto(file, &d); err != nil {
		return Deployment{}, err
	}
	return d, d.check()
}

// readInto decodes a file of JSON with comments.
func readInto(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := settings.Decode(data, into); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, file, err)
	}
	return nil
}

func (d Deployment) check() error {
	workers := 0
	known := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" || s.Workers < 1 || s.Slots < 1 {
			return fmt.Errorf("%w: services: name, workers and slots are required", ErrInvalid)
		}
		workers += s.Workers
		known[s.Name] = true
	}
	if d.Region == "" || len(d.DataCentres) == 0 || workers == 0 || workers > maxProcesses {
		return fmt.Errorf("%w: region, data_centres and 1 to %d workers are required", ErrInvalid, maxProcesses)
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
