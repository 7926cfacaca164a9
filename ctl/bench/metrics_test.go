package bench

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

var start = time.Unix(1_700_000_000, 0)

func runsAt(name string, at ...time.Duration) ServerRuns {
	s := ServerRuns{Name: name, Service: "s"}
	for _, d := range at {
		s.Runs = append(s.Runs, load.Run{At: start.Add(d).UnixMicro()})
	}
	return s
}

func TestImbalance(t *testing.T) {
	is := is.New(t)
	w := Window{time.Second, 2 * time.Second}
	in, out := 1500*time.Millisecond, 2500*time.Millisecond
	even := []ServerRuns{runsAt("a", in, in), runsAt("b", in, in)}
	is.Equal(Imbalance(even, "s", start, w), 1.0)
	uneven := []ServerRuns{runsAt("a", in, in, in), runsAt("b", in)}
	is.Equal(Imbalance(uneven, "s", start, w), 1.5)
	idle := []ServerRuns{runsAt("a", in, in), runsAt("b")} // an idle server is part of the mean
	is.Equal(Imbalance(idle, "s", start, w), 2.0)
	outside := []ServerRuns{runsAt("a", in, out, out), runsAt("b", in)}
	is.Equal(Imbalance(outside, "s", start, w), 1.0)
	is.Equal(Imbalance(even, "other", start, w), 0.0)
}

// stream builds the records of a placement stream.
type stream struct{ entries []Record }

func (s *stream) add(t *testing.T, at time.Duration, rec *wire.Record) fold.Incarnation {
	t.Helper()
	id := uuid.New()
	rec.Id, rec.Version = id[:], fold.RecordVersion
	data, err := proto.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	offset := uint64(len(s.entries) + 1)
	s.entries = append(s.entries, Record{logstream.Entry{Offset: offset, Data: data}, start.Add(at)})
	return offset
}

func (s *stream) member(t *testing.T, slot string) fold.Incarnation {
	t.Helper()
	s.add(t, 0, &wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: slot, DataCentre: "d", Region: "r", WitnessAddr: "127.0.0.1:1"}}})
	inc := s.add(t, 0, &wire.Record{Body: &wire.Record_Join{Join: &wire.Join{
		Slot: slot, Service: "s", BackendServer: slot, BackendAddr: "127.0.0.1:1", Slots: 1, Witnesses: []string{slot}}}})
	s.add(t, 0, &wire.Record{Author: inc, Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: inc}}})
	return inc
}

func TestMovesAndChurn(t *testing.T) {
	is := is.New(t)
	var s stream
	a, b := s.member(t, "a"), s.member(t, "b")
	ref := &wire.ShardRef{Service: "s", Shard: 1}
	s.add(t, time.Second, &wire.Record{Author: a, Body: &wire.Record_Propose{Propose: &wire.Propose{
		Placements: []*wire.Placement{{Ref: ref, Owner: a, Standby: b}}}}})
	st := fold.New()
	st.EnsureService("s", 2)
	for _, e := range s.entries {
		st.Apply(e.Offset, e.Data)
	}
	generation := st.Services["s"].Shards[1].Generation
	s.add(t, 3*time.Second, &wire.Record{Author: b, Body: &wire.Record_Takeover{Takeover: &wire.Takeover{
		Incarnation: b, Refs: []*wire.ShardRef{{Service: "s", Shard: 1, Generation: generation}}}}})
	s.add(t, 4*time.Second, &wire.Record{Author: b, Body: &wire.Record_Takeover{Takeover: &wire.Takeover{
		Incarnation: a, Refs: []*wire.ShardRef{{Service: "s", Shard: 1, Generation: 99}}}}}) // rejected: the author is not the incarnation

	moves := Moves(s.entries, map[string]uint32{"s": 2})
	is.Equal(len(moves), 2)
	is.Equal(moves[0], Move{Service: "s", Shard: 1, To: "a", At: start.Add(time.Second)})
	is.Equal(moves[1].From, "a")
	is.Equal(moves[1].To, "b")
	is.Equal(len(MovesBetween(moves, start, start.Add(10*time.Second))), 1) // the first owner of a shard is not a move
	is.Equal(len(MovesBetween(moves, start, start.Add(3*time.Second))), 0)
	is.Equal(ShardsBySlot(moves, start.Add(2*time.Second)), map[string]int{"a": 1})
	is.Equal(ShardsBySlot(moves, start.Add(4*time.Second)), map[string]int{"b": 1})
	is.Equal(Churn(6, 4), 1.5)
	is.Equal(Churn(0, 0), 0.0)
	is.Equal(Churn(3, 0), 3.0) // unnecessary moves are reported
}

func TestQuantileAndRefused(t *testing.T) {
	is := is.New(t)
	r := &Run{}
	for i := range 100 {
		r.Results = append(r.Results, load.Result{At: time.Second, Latency: time.Duration(i+1) * time.Millisecond, Outcome: "ok", Path: "/s/k"})
	}
	r.Results = append(r.Results,
		load.Result{At: time.Second, Latency: time.Hour, Outcome: "no_owner", Path: "/s/k"},
		load.Result{At: time.Second, Latency: time.Hour, Outcome: "rate_limited", Path: "/s/k"},
		load.Result{At: time.Minute, Latency: time.Hour, Outcome: "ok", Path: "/s/k"})
	w := Window{0, 2 * time.Second}
	is.Equal(Quantile(r.Results, w, 0.5, keepService("s")), 51*time.Millisecond)
	is.Equal(Quantile(r.Results, w, 0.99, keepAll), 100*time.Millisecond)
	is.Equal(Quantile(r.Results, w, 0.99, keepService("t")), time.Duration(0))
	is.Equal(r.notServedPercent(w, keepAll), 100.0/101)
}

func TestUnavailableTimeBounds(t *testing.T) {
	is := is.New(t)
	at := func(ms int, outcome string) load.Result {
		return load.Result{At: time.Duration(ms) * time.Millisecond, Outcome: outcome, Path: "/s/k"}
	}
	results := []load.Result{at(0, "ok"), at(100, "no_owner"), at(400, "no_owner"), at(900, "ok")}
	rep := load.NewReport(load.Plan{DurationMS: 1000, Teams: []load.Team{{Name: "t"}}}, results, load.Audit{})
	is.Equal(rep.Outages.AtLeastMS, 300.0)
	is.Equal(rep.Outages.AtMostMS, 800.0)
}

func TestSumCounter(t *testing.T) {
	is := is.New(t)
	text := "# TYPE c counter\nc{service=\"a\"} 2\nc{service=\"b\"} 3\nc_other 7\nc 1\n"
	is.Equal(sumCounter(strings.NewReader(text), "c"), 6.0)
}

func TestReportMarksMissedTargets(t *testing.T) {
	is := is.New(t)
	missedRow := Row{Metric: "m", Value: 3, Bound: AtMost, Target: 2}
	rep := Report{Variants: []VariantReport{
		{Name: "naive", Rows: []Row{missedRow}},
		{Name: "chosen", Chosen: true, Rows: []Row{{Metric: "m", Value: 2, Bound: AtMost, Target: 2}}},
	}}
	is.Equal(len(rep.Missed()), 0) // a baseline may miss its target
	rep.Compared = []Row{{Metric: "n", Value: 1, Bound: AtLeast, Target: 2}}
	is.Equal(len(rep.Missed()), 1)
	var text bytes.Buffer
	is.NoErr(rep.WriteText(&text))
	is.True(strings.Contains(text.String(), "3 (missed)"))
	is.True(strings.Contains(text.String(), "1 (missed)"))
}

func TestFullLoad(t *testing.T) {
	is := is.New(t)
	var at []time.Duration
	for d := time.Duration(0); d < 30*time.Second; d += 100 * time.Millisecond {
		if d < 10*time.Second || d >= 14*time.Second {
			at = append(at, d)
		}
	}
	r := &Run{Start: start, Servers: []ServerRuns{runsAt("a", at...)}, Plan: load.Plan{DurationMS: 30_000},
		Done: map[string]time.Time{"cold": start.Add(10 * time.Second)}}
	is.Equal(r.timeToFullLoad("a", "cold"), 4.0)
	r.Servers = []ServerRuns{runsAt("a", at[:100]...)}
	is.Equal(r.timeToFullLoad("a", "cold"), -1.0)
}
