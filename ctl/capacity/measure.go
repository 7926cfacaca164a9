package capacity

import (
	"errors"
	"fmt"
	"runtime"
	"time"
)

// Row is what one daemon of a fleet of a given size does, on average over the
// fleet and over a quiet period.
type Row struct {
	Daemons          int           `json:"daemons"`
	Shards           int           `json:"shards"`
	Place            time.Duration `json:"place_ns"`          // virtual time from start until all shards were held
	DatagramsOut     float64       `json:"datagrams_out_s"`   // per second
	DatagramsIn      float64       `json:"datagrams_in_s"`    // per second
	WitnessBytes     float64       `json:"witness_bytes_s"`   // out and in, with IP and UDP headers
	CPU              float64       `json:"cpu_share"`         // share of one core spent in control, quiet
	Heap             float64       `json:"heap_bytes"`        // live heap of one control state with its view
	LossAppends      float64       `json:"loss_appends"`      // records appended by the fleet after the loss of one daemon
	LossAppendBytes  float64       `json:"loss_append_bytes"` // their size
	LossCPU          time.Duration `json:"loss_cpu_ns"`       // extra control time of one daemon for one loss
	StartAppends     float64       `json:"start_appends"`     // records appended for each daemon that starts
	StartAppendBytes float64       `json:"start_append_bytes"`
}

const (
	startBound  = 120 * time.Second
	settleTime  = 10 * time.Second
	quietTime   = 20 * time.Second
	recoverTime = 10 * time.Second
)

// ErrNotPlaced reports a fleet that did not place its shards in time.
var ErrNotPlaced = errors.New("capacity: shards were not placed in time")

// Measure runs a fleet through its start, a quiet period and the loss of one
// daemon.
func Measure(p Params) (Row, error) {
	before := liveHeap()
	f, err := NewFleet(p)
	if err != nil {
		return Row{}, err
	}
	row := Row{Daemons: p.Daemons, Shards: p.Daemons * p.ShardsPerDaemon}
	begin := f.now
	for !f.Placed() {
		if f.now.Sub(begin) > startBound {
			return row, fmt.Errorf("%w: %d daemons", ErrNotPlaced, p.Daemons)
		}
		f.Run(100 * time.Millisecond)
	}
	row.Place = f.now.Sub(begin)
	f.Run(settleTime)
	n := float64(p.Daemons)
	started := f.total()
	row.StartAppends = float64(started.appends) / n
	row.StartAppendBytes = float64(started.appended) / n
	f.Run(quietTime)
	quiet := f.total().minus(started)
	perDaemonSecond := 1 / (n * quietTime.Seconds())
	row.DatagramsOut = float64(quiet.sent) * perDaemonSecond
	row.DatagramsIn = float64(quiet.got) * perDaemonSecond
	row.WitnessBytes = float64(quiet.sentBytes+quiet.gotBytes) * perDaemonSecond
	row.CPU = quiet.busy.Seconds() * perDaemonSecond
	row.Heap = float64(liveHeap()-before) / n
	f.measureLoss(&row, quiet.busy)
	return row, nil
}

// measureLoss kills one daemon and compares the time that follows with the
// quiet time before.
func (f *Fleet) measureLoss(row *Row, quietBusy time.Duration) {
	f.Kill()
	before := f.total()
	f.Run(recoverTime)
	loss := f.total().minus(before)
	n := float64(len(f.daemons))
	row.LossAppends = float64(loss.appends)
	row.LossAppendBytes = float64(loss.appended)
	quietShare := float64(recoverTime) / float64(quietTime)
	row.LossCPU = time.Duration((float64(loss.busy) - quietShare*float64(quietBusy)) / n)
}

func (f *Fleet) total() counts {
	var sum counts
	for _, d := range f.daemons {
		c := d.counts
		sum.sent += c.sent
		sum.sentBytes += c.sentBytes
		sum.got += c.got
		sum.gotBytes += c.gotBytes
		sum.appends += c.appends
		sum.appended += c.appended
		sum.read += c.read
		sum.steps += c.steps
		sum.busy += c.busy
	}
	return sum
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
