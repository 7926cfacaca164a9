// Package logtrace finds in daemons' logs what belongs to one request: its own
// lines, those of the calls that it led to, and the decisions about its shard and
// about the daemons on its way.
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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	At     time.Time
	Slot   string
	Msg    string
	Fields map[string]any // all others
}

// Text returns a field as text, "" if it is absent.
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

// Log is what was read of one or more files.
type Log struct {
	Lines   []Line
	Skipped int // lines that are no log line
}

// Read adds the lines of a log. What a collector wrote before the first brace of a
// line is passed over.
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

var errNoLine = errors.New("logtrace: no log line")

func parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errNoLine
	}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber()
	fields := map[string]any{}
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, fmt.Errorf("%w: %w", errNoLine, err)
	}
	l := Line{Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, l.Text("ts"))
	if err != nil {
		return Line{}, fmt.Errorf("%w: %w", errNoLine, err)
	}
	l.At, l.Slot, l.Msg = at, l.Text("slot"), l.Text("msg")
	for _, name := range []string{"ts", "slot", "msg", "level", "data_centre"} {
		delete(fields, name)
	}
	return l, nil
}

// Story is what the logs tell of a request, oldest line first.
type Story struct {
	Own     []Line // of the request and its calls
	Related []Line // decisions about its shards and the daemons on its way
	Cause   string // what its outcome means; "" if there is no line of its entry
}

// Trace finds the lines that belong to a request. Decisions count if they were
// made within window of its lines.
func (g *Log) Trace(id string, window time.Duration) Story {
	var s Story
	for _, l := range g.Lines {
		if got := l.Text("request_id"); got == id || strings.HasPrefix(got, id+".") {
			s.Own = append(s.Own, l)
		}
	}
	if len(s.Own) == 0 {
		return s
	}
	slices.SortStableFunc(s.Own, byTime)
	way := wayOf(s.Own)
	from, to := s.Own[0].At.Add(-window), s.Own[len(s.Own)-1].At.Add(window)
	for _, l := range g.Lines {
		if !l.At.Before(from) && !l.At.After(to) && way.concerns(l) {
			s.Related = append(s.Related, l)
		}
	}
	slices.SortStableFunc(s.Related, byTime)
	for _, l := range s.Own {
		if l.Msg == "request" && l.Text("request_id") == id {
			s.Cause = causeOf(l)
		}
	}
	return s
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// way is what a request touched.
type way struct {
	shards map[string]map[uint64]bool // by service
	slots  map[string]bool
}

func wayOf(own []Line) way {
	w := way{shards: map[string]map[uint64]bool{}, slots: map[string]bool{}}
	for _, l := range own {
		w.slots[l.Slot] = true
		if owner := l.Text("owner"); owner != "" {
			w.slots[owner] = true
		}
		for _, try := range strings.Fields(l.Text("tried")) {
			slot, _, _ := strings.Cut(try, ":")
			w.slots[slot] = true
		}
		if number, err := strconv.ParseUint(l.Text("shard"), 10, 32); err == nil {
			service := l.Text("service")
			if w.shards[service] == nil {
				w.shards[service] = map[uint64]bool{}
			}
			w.shards[service][number] = true
		}
	}
	return w
}

// about names the lines about a daemon as a whole that may explain a request.
var about = map[string]bool{
	"started": true, "leaving": true, "stopped": true, "reading": true, "log is down": true,
	"backend server lost": true, "backend server back": true, "backend server began a life": true,
	"backend server leaves": true, "link closed": true,
}

// concerns reports whether a line is a decision about one of the request's shards,
// or about a daemon on its way.
func (w way) concerns(l Line) bool {
	if l.Text("request_id") != "" {
		return false
	}
	if shards := w.shards[l.Text("service")]; l.Text("service") != "" {
		return shards != nil && namesAny(l, shards)
	}
	return w.slots[l.Slot] && (l.Msg == "placement" || about[l.Msg])
}

// namesAny reports whether a line names one of the shards, by its field "shard" or
// its list "shards" of "NUMBER@GENERATION" and "FIRST-LAST@GENERATION".
func namesAny(l Line, shards map[uint64]bool) bool {
	if number, err := strconv.ParseUint(l.Text("shard"), 10, 32); err == nil {
		return shards[number]
	}
	for _, run := range strings.Fields(l.Text("shards")) {
		numbers, _, _ := strings.Cut(run, "@")
		first, last, isRun := strings.Cut(numbers, "-")
		if !isRun {
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
