//go:build !race

// The race detector fails in its own code in bubbles of a whole fleet. "make unit" runs
// this file without it.

package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// The log refuses some daemons, at once or without an answer, and serves the others; two
// data centres do not reach each other; and some daemons are lost. A version that is
// appended then must be in force at all others within 2 s.
func TestVersionIsLateAtDaemonsThatTheLogRefuses(t *testing.T) {
	for _, tc := range []refusal{
		{share: 0.35}, {share: 0.35, silent: true}, {share: 0.9}, {share: 0.9, silent: true},
		{share: 0.35, silent: true, lost: 0.2}, {share: 0.35, silent: true, bridge: true},
		{share: 0.35, silent: true, bridge: true, lost: 0.2}, {share: 0, bridge: true, lost: 0.3}, {share: 0.7, bridge: true, lost: 0.3},
	} {
		t.Run(fmt.Sprintf("%+v", tc), tc.run)
	}
}

// refusal is a disruption of the log and of the daemons.
type refusal struct {
	share  float64 // of the daemons, refused by the log
	silent bool    // the log does not answer these
	lost   float64 // share of the daemons that are lost
	bridge bool    // two data centres do not reach each other
}

// draw returns a random share of the nodes.
func (c *cluster) draw(share float64) []*node {
	var drawn []*node
	for _, i := range rand.Perm(len(c.daemons))[:int(share*float64(len(c.daemons)))] {
		drawn = append(drawn, c.nodes[c.daemons[i].Slot])
	}
	return drawn
}

func (r refusal) run(t *testing.T) {
	const rounds = 20
	worst := time.Duration(0)
	for range rounds {
		runClusterWith(t, 5, 13, platformBounds(), func(t *testing.T, w *cluster) {
			for _, n := range w.draw(r.share) {
				n.logSilent.Store(r.silent)
				n.logCut.Store(true)
			}
			for _, n := range w.draw(r.lost) {
				n.dead.Store(true)
			}
			if r.bridge {
				w.mu.Lock()
				w.bridge = [2]string{fmt.Sprintf("dc%d", rand.IntN(2)), fmt.Sprintf("dc%d", 2+rand.IntN(3))}
				w.mu.Unlock()
			}
			time.Sleep(rand.N(2 * time.Second))
			offset := w.append(record)
			sent := time.Now()
			time.Sleep(4 * time.Second)
			for _, n := range w.nodes {
				if n.dead.Load() {
					continue
				}
				if !n.has(offset) {
					t.Fatalf("%s does not have the version after 4 s", n.name)
				}
				worst = max(worst, n.receivedAt[offset].Sub(sent))
			}
		})
	}
	t.Logf("latest after %v", worst)
	is.New(t).True(worst < 2*time.Second)
}

// Large versions follow one another quickly, and each daemon's link has 10 Mbit/s. Each
// version, or one after it, must be in force at all daemons within 2.5 s.
func TestVersionIsLateWhenLargeOnesFollowOneAnother(t *testing.T) {
	const versions, interval = 20, 250 * time.Millisecond
	for _, size := range []int{30_000, 125_000, 250_000} {
		t.Run(fmt.Sprintf("%d", size), func(t *testing.T) {
			runClusterWith(t, 5, 13, platformBounds(), func(t *testing.T, w *cluster) {
				w.linkBytesPerS = 10e6 / 8
				sent := map[uint64]time.Time{}
				for i := range versions {
					sent[w.append(published(t, uint64(i+1), size))] = time.Now()
					time.Sleep(interval)
				}
				time.Sleep(10 * time.Second)
				worst := time.Duration(0)
				for _, n := range w.nodes {
					for offset, at := range sent {
						if !n.has(offset) {
							t.Fatalf("%s does not have version %d after 10 s", n.name, offset)
						}
						worst = max(worst, n.receivedAt[offset].Sub(at))
					}
				}
				t.Logf("latest after %v", worst)
				is.New(t).True(worst < 2500*time.Millisecond)
			})
		})
	}
}

// The log turns the readers away, with or without an answer, and serves all others. Placement
// records must go on to reach all daemons: where one daemon reads for a region, nobody else
// read that stream.
func TestPlacementStopsWhenItsReadersAreCutFromTheLog(t *testing.T) {
	for _, centres := range []int{1, 2} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d readers, silent %v", centres, silent), func(t *testing.T) {
				bounds := platformBounds()
				bounds.LogReaderCentres = centres
				runClusterWith(t, 3, 13, bounds, func(t *testing.T, w *cluster) {
					for _, n := range w.nodes {
						if n.parent() == "" {
							n.logSilent.Store(silent)
							n.logCut.Store(true)
						}
					}
					worst := time.Duration(0)
					for range 20 {
						count, sent := w.appendPlacement(), time.Now()
						for _, n := range w.nodes {
							for n.NextOffset(logstream.PlacementStream("r")) <= count && time.Since(sent) < 10*time.Second {
								time.Sleep(10 * time.Millisecond)
							}
						}
						worst = max(worst, time.Since(sent))
						time.Sleep(700 * time.Millisecond)
					}
					t.Logf("latest after %v", worst)
					is.New(t).True(worst < 2*time.Second)
				})
			})
		}
	}
}

// TestRecordsReachAllDaemonsInTime checks that a record reaches all
// daemons within inForceLimit and that no configuration gets older than
// staleLimit. It also logs the bytes of frames per daemon.
func TestRecordsReachAllDaemonsInTime(t *testing.T) {
	runCluster(t, 3, 40, func(t *testing.T, w *cluster) {
		is := is.New(t)
		for _, n := range w.nodes {
			n.bytes.Store(0)
		}
		offset := w.append(record)
		sent := time.Now()
		worst := time.Duration(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range w.nodes {
				worst = max(worst, n.age())
			}
		}
		most := int64(0)
		for _, n := range w.nodes {
			is.True(n.has(offset))
			is.True(n.receivedAt[offset].Sub(sent) < inForceLimit)
			most = max(most, n.bytes.Load())
		}
		t.Logf("oldest configuration %v, maximum frame bytes/s of a daemon %d", worst, most/10)
		is.True(worst < staleLimit)
	})
}
