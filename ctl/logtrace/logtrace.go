// Package logtrace finds the log lines that concern one request in daemons' logs:
// the lines of the request and of the calls that it caused, those of its caller's
// connection, and the decisions about its shards and about the daemons involved.
package logtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of one line of a log.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	At     time.Time
	Slot   string
	Msg    string
	Fields map[string]any // all other fields, except level and data_centre
}

// Text returns a field as text, or "" if it is absent.
func (l Line) Text(name string) string {
	switch v := l.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		return v.String()
	default:
		return fmt.Sprint(v)
	}
}

// Log holds the lines of one or more log files.
type Log struct {
	Lines   []Line
	Skipped int // lines that could not be parsed
}

// Read adds the lines of a log. It ignores the text before the first brace of a
// line, which log collectors add, and skips lines that are not JSON objects with a
// valid time. It fails on a line longer than maxLineBytes.
func (g *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, err := parse(scanner.Bytes())
		if err != nil {
			g.Skipped++
			continue
		}
		g.Lines = append(g.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("logtrace: %w", err)
	}
	return nil
}

var errNotLogLine = errors.New("logtrace: not a log line")

func parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errNotLogLine
	}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber()
	fields := map[string]any{}
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, fmt.Errorf("%w: %w", errNotLogLine, err)
	}
	l := Line{Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, l.Text("ts"))
	if err != nil {
		return Line{}, fmt.Errorf("%w: %w", errNotLogLine, err)
	}
	l.At, l.Slot, l.Msg = at, l.Text("slot"), l.Text("msg")
	for _, name := range []string{"ts", "slot", "msg", "level", "data_centre"} {
		delete(fields, name)
	}
	return l, nil
}

// RequestTrace holds the log lines that concern one request, oldest first.
type RequestTrace struct {
	Request []Line // lines of the request and of its calls
	Related []Line // of its connection; decisions about its shards and the daemons involved
	Outcome string // outcome with its meaning; "" without a line of the entry daemon
}

// Trace returns the lines that concern the request with the id. Decisions and lines of
// the caller's connection are included if they were made at most window before the first or after the last line
// of the request.
func (g *Log) Trace(id string, window time.Duration) RequestTrace {
	var trace RequestTrace
	for _, l := range g.Lines {
		if concerns(l, id) {
			trace.Request = append(trace.Request, l)
		}
	}
	if len(trace.Request) == 0 {
		return trace
	}
	slices.SortStableFunc(trace.Request, byTime)
	involved := scopeOf(trace.Request)
	from, to := trace.Request[0].At.Add(-window), trace.Request[len(trace.Request)-1].At.Add(window)
	for _, l := range g.Lines {
		if !l.At.Before(from) && !l.At.After(to) && !concerns(l, id) && involved.includes(l) {
			trace.Related = append(trace.Related, l)
		}
	}
	slices.SortStableFunc(trace.Related, byTime)
	for _, l := range trace.Request {
		if l.Msg == "request" && l.Text("request_id") == id {
			trace.Outcome = describeOutcome(l)
		}
	}
	return trace
}

// concerns reports whether a line is one of the request with the id or of its calls.
func concerns(l Line, id string) bool {
	got := l.Text("request_id")
	return got == id || strings.HasPrefix(got, id+".")
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// scope holds the shards of a request and of its calls, the slots of the daemons that
// logged, owned or were tried for them, and the callers' connections.
type scope struct {
	shards map[string]map[uint64]bool // by service
	slots  map[string]bool
	conns  map[conn]bool
}

// conn is a connection of a caller.
type conn struct{ slot, caller string }

func scopeOf(lines []Line) scope {
	involved := scope{shards: map[string]map[uint64]bool{}, slots: map[string]bool{}, conns: map[conn]bool{}}
	for _, l := range lines {
		if caller := l.Text("caller"); caller != "" {
			involved.conns[conn{l.Slot, caller}] = true
		}
		involved.slots[l.Slot] = true
		if owner := l.Text("owner"); owner != "" {
			involved.slots[owner] = true
		}
		for _, attempt := range strings.Fields(l.Text("tried")) {
			slot, _, _ := strings.Cut(attempt, ":")
			involved.slots[slot] = true
		}
		if number, err := strconv.ParseUint(l.Text("shard"), 10, 32); err == nil {
			service := l.Text("service")
			if involved.shards[service] == nil {
				involved.shards[service] = map[uint64]bool{}
			}
			involved.shards[service][number] = true
		}
	}
	return involved
}

// daemonMessages are the messages of log lines about a whole daemon that may explain
// the outcome of a request.
var daemonMessages = map[string]bool{
	"started": true, "leaving": true, "stopped": true, "reading": true, "log is down": true,
	"backend server lost": true, "backend server back": true, "backend server began a life": true,
	"backend server leaves": true, "link closed": true,
}

// includes reports whether a line is one of a connection in the scope, or a decision
// about one of the request's shards or about a daemon in the scope.
func (s scope) includes(l Line) bool {
	if s.conns[conn{l.Slot, l.Text("caller")}] {
		return true
	}
	if l.Text("request_id") != "" {
		return false
	}
	if shards := s.shards[l.Text("service")]; l.Text("service") != "" {
		return shards != nil && mentionsShard(l, shards)
	}
	return s.slots[l.Slot] && (l.Msg == "placement" || daemonMessages[l.Msg])
}

// mentionsShard reports whether a line names one of the shards, in its field "shard"
// or in its list "shards" of "NUMBER@GENERATION" and "FIRST-LAST@GENERATION".
func mentionsShard(l Line, shards map[uint64]bool) bool {
	if number, err := strconv.ParseUint(l.Text("shard"), 10, 32); err == nil {
		return shards[number]
	}
	for _, shardRange := range strings.Fields(l.Text("shards")) {
		numbers, _, _ := strings.Cut(shardRange, "@")
		first, last, isRange := strings.Cut(numbers, "-")
		if !isRange {
			last = first
		}
		low, err1 := strconv.ParseUint(first, 10, 32)
		high, err2 := strconv.ParseUint(last, 10, 32)
		if err1 != nil || err2 != nil {
			continue
		}
		for number := range shards {
			if number >= low && number <= high {
				return true
			}
		}
	}
	return false
}
