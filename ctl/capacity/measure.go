package capacity

import (
	"errors"
	"fmt"
	"runtime"
	"time"
)

// FleetCost is the control cost of one daemon in a fleet of a given size. Rates are
// averages over the daemons and over a steady period without changes.
type FleetCost struct {
	Daemons          int           `json:"daemons"`
	Shards           int           `json:"shards"`
	PlacementTime    time.Duration `json:"place_ns"`           // virtual time from the start until all shards are held
	DatagramsOut     float64       `json:"datagrams_out_s"`    // per second
	DatagramsIn      float64       `json:"datagrams_in_s"`     // per second
	WitnessBytes     float64       `json:"witness_bytes_s"`    // out and in, with IP and UDP headers
	CPU              float64       `json:"cpu_share"`          // share of one core spent in control, steady state
	Heap             float64       `json:"heap_bytes"`         // bytes of live heap of one control state with its view
	LossAppends      float64       `json:"loss_appends"`       // records appended by the fleet after the loss of one daemon
	LossAppendBytes  float64       `json:"loss_append_bytes"`  // bytes of these records
	LossCPU          time.Duration `json:"loss_cpu_ns"`        // additional control time of one daemon for the loss
	StartAppends     float64       `json:"start_appends"`      // records appended for each daemon that starts
	StartAppendBytes float64       `json:"start_append_bytes"` // bytes of these records
}

// Durations in virtual time.
const (
	startTimeout = 120 * time.Second
	settleTime   = 10 * time.Second
	steadyTime   = 20 * time.Second
	recoveryTime = 10 * time.Second
)

// ErrNotPlaced is returned if, within startTimeout of virtual time, the shards of a
// fleet are not placed or the planner of a region has not joined.
var ErrNotPlaced = errors.New("capacity: shards were not placed in time")

// Measure runs a fleet through its start, a steady period and the loss of one
// daemon, and returns the costs.
func Measure(p Params) (FleetCost, error) {
	heapBefore := liveHeap()
	f, err := NewFleet(p)
	if err != nil {
		return FleetCost{}, err
	}
	row := FleetCost{Daemons: p.Daemons, Shards: p.Daemons * p.ShardsPerDaemon}
	begin := f.now
	for !f.Placed() {
		if f.now.Sub(begin) > startTimeout {
			return row, fmt.Errorf("%w: %d daemons", ErrNotPlaced, p.Daemons)
		}
		f.Run(100 * time.Millisecond)
	}
	row.PlacementTime = f.now.Sub(begin)
	f.Run(settleTime)
	n := float64(p.Daemons)
	started := f.total()
	row.StartAppends = float64(started.appends) / n
	row.StartAppendBytes = float64(started.appendedBytes) / n
	f.Run(steadyTime)
	steady := f.total().minus(started)
	perDaemonSecond := 1 / (n * steadyTime.Seconds())
	row.DatagramsOut = float64(steady.sent) * perDaemonSecond
	row.DatagramsIn = float64(steady.received) * perDaemonSecond
	row.WitnessBytes = float64(steady.sentBytes+steady.receivedBytes) * perDaemonSecond
	row.CPU = steady.busy.Seconds() * perDaemonSecond
	row.Heap = float64(liveHeap()-heapBefore) / n
	f.measureLoss(&row, steady.busy)
	return row, nil
}

// measureLoss kills one daemon and records the cost during recoveryTime. The
// control time of an equally long steady period, taken from steadyBusy, is
// subtracted.
func (f *Fleet) measureLoss(row *FleetCost, steadyBusy time.Duration) {
	f.Kill()
	before := f.total()
	f.Run(recoveryTime)
	loss := f.total().minus(before)
	n := float64(len(f.daemons))
	row.LossAppends = float64(loss.appends)
	row.LossAppendBytes = float64(loss.appendedBytes)
	recoveryShare := float64(recoveryTime) / float64(steadyTime)
	row.LossCPU = time.Duration((float64(loss.busy) - recoveryShare*float64(steadyBusy)) / n)
}

// total returns the sum of the counts of all daemons, except the published views.
func (f *Fleet) total() counts {
	var sum counts
	for _, d := range f.daemons {
		c := d.counts
		sum.sent += c.sent
		sum.sentBytes += c.sentBytes
		sum.received += c.received
		sum.receivedBytes += c.receivedBytes
		sum.appends += c.appends
		sum.appendedBytes += c.appendedBytes
		sum.readBytes += c.readBytes
		sum.steps += c.steps
		sum.busy += c.busy
	}
	return sum
}

// liveHeap returns the bytes of the heap that are in use after a collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
