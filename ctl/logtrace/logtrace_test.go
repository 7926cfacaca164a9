package logtrace

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

const logs = `
collector: {"level":"info","ts":"2026-01-01T10:00:05Z","msg":"request","slot":"d1","request_id":"r1","service":"s","shard":7,"owner":"d2","tried":"d2:owner_unreachable d3:not_owner","outcome":"not_owner","reason":"shard s/7"}
{"level":"info","ts":"2026-01-01T10:00:05.1Z","msg":"run","slot":"d3","request_id":"r1","service":"s","shard":7,"outcome":"not_owner"}
{"level":"info","ts":"2026-01-01T10:00:04.9Z","msg":"request","slot":"d4","request_id":"r1.call","service":"t","shard":2,"owner":"d5","outcome":"ok"}
{"level":"info","ts":"2026-01-01T10:00:04Z","msg":"placement","slot":"d2","action":"release","service":"s","shards":"1-3@2 6-8@4"}
{"level":"info","ts":"2026-01-01T10:00:04Z","msg":"placement","slot":"d9","action":"release","service":"s","shards":"9@2"}
{"level":"info","ts":"2026-01-01T10:00:06Z","msg":"placement","slot":"d3","action":"take_over","service":"s","shard":7}
{"level":"info","ts":"2026-01-01T10:00:03.9Z","msg":"leaving","slot":"d2"}
{"level":"info","ts":"2026-01-01T10:00:04Z","msg":"leaving","slot":"d9"}
{"level":"info","ts":"2026-01-01T09:00:00Z","msg":"leaving","slot":"d2"}
{"level":"info","ts":"2026-01-01T10:00:05Z","msg":"request","slot":"d1","request_id":"r10","service":"s","shard":7,"outcome":"ok"}
not a line
{"half": "a line"
`

func read(t *testing.T) *Log {
	t.Helper()
	g := new(Log)
	if err := g.Read(strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	return g
}

func names(lines []Line) []string {
	var list []string
	for _, l := range lines {
		list = append(list, strings.Join(strings.Fields(l.Slot+" "+l.Msg+" "+l.Text("action")), " "))
	}
	return list
}

func TestTraceOfRequest(t *testing.T) {
	is := is.New(t)
	g := read(t)
	is.Equal(g.Skipped, 3) // an empty line, one without a brace, one truncated
	trace := g.Trace("r1", 2*time.Second)
	is.Equal(names(trace.Request), []string{"d4 request", "d1 request", "d3 run"})
	is.Equal(names(trace.Related), []string{"d2 leaving", "d2 placement release", "d3 placement take_over"})
	is.True(strings.HasPrefix(trace.Outcome, "not_owner: the shard was moving to another owner"))
	is.True(strings.HasSuffix(trace.Outcome, "(shard s/7)"))
}

// A request without an answer, or with another one's, is explained by its connection.
func TestTraceShowsTheCallersConnection(t *testing.T) {
	is := is.New(t)
	g := new(Log)
	is.NoErr(g.Read(strings.NewReader(`
{"ts":"2026-01-01T10:00:04Z","msg":"request","slot":"d1","request_id":"r1","caller":"10.0.0.9:4000","request_number":1,"outcome":"ok"}
{"ts":"2026-01-01T10:00:05Z","msg":"request","slot":"d1","request_id":"r2","caller":"10.0.0.9:4000","request_number":2,"outcome":"ok"}
{"ts":"2026-01-01T10:00:05.1Z","msg":"answer not written","slot":"d1","request_id":"r2","caller":"10.0.0.9:4000","outcome":"ok","error":"broken pipe"}
{"ts":"2026-01-01T10:00:05.2Z","msg":"caller connection ended","slot":"d1","caller":"10.0.0.9:4000","reason":"write error"}
{"ts":"2026-01-01T10:00:05Z","msg":"request","slot":"d1","request_id":"r3","caller":"10.0.0.9:4001","request_number":1,"outcome":"ok"}
{"ts":"2026-01-01T10:00:05Z","msg":"request","slot":"d2","request_id":"r4","caller":"10.0.0.9:4000","request_number":1,"outcome":"ok"}
{"ts":"2026-01-01T10:00:05Z","msg":"request","slot":"d1","request_id":"r5","request_number":0,"outcome":"ok"}
{"ts":"2026-01-01T10:00:09Z","msg":"caller connection ended","slot":"d1","caller":"10.0.0.9:4000"}
`)))
	trace := g.Trace("r2", 2*time.Second)
	is.Equal(names(trace.Request), []string{"d1 request", "d1 answer not written"})
	is.Equal(names(trace.Related), []string{"d1 request", "d1 caller connection ended"})
	is.Equal(trace.Related[0].Text("request_id"), "r1")
	is.True(strings.HasPrefix(trace.Outcome, "ok"))
}

func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	trace := read(t).Trace("r2", time.Second)
	is.Equal(len(trace.Request)+len(trace.Related), 0)
	is.Equal(trace.Outcome, "")
}

// TestExplainedOutcomesExist checks that each explained outcome exists.
func TestExplainedOutcomesExist(t *testing.T) {
	known := map[string]bool{}
	for _, k := range outcome.Kinds() {
		known[k.String()] = true
	}
	for name := range outcomeMeanings {
		if !known[name] {
			t.Errorf("no outcome %s", name)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Add(`{"ts":"2026-01-01T10:00:05Z","request_id":"r","shards":"-@ 9-1@3 @ 99999999999-1"}`)
	f.Fuzz(func(t *testing.T, text string) {
		g := new(Log)
		_ = g.Read(strings.NewReader(text)) // a line that is too long causes an error
		g.Trace("r", time.Hour)
	})
}
