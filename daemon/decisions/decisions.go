// Package decisions keeps the daemon's recent log lines about requests and
// placements in memory, so that operators can query them by request or shard
// without reading log files.
package decisions

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A log line is kept if it has this message or a field with this key.
const (
	placementMessage = "placement"
	requestField     = "request_id"
)

// line is a log line that is encoded only when a query returns it.
type line struct {
	entry  zapcore.Entry
	fields []zapcore.Field
}

// Ring is a ring buffer of the newest lines. It is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	lines []line
	next  int // index of the next line to write
	full  bool
}

// NewRing returns a ring of at most size lines. size must be positive.
func NewRing(size int) *Ring { return &Ring{lines: make([]line, size)} }

// Attach returns a logger that writes to log and stores lines about requests and
// placements in the ring.
func (r *Ring) Attach(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewTee(core, &ringCore{ring: r})
	}))
}

func (r *Ring) add(l line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[r.next] = l
	r.next = (r.next + 1) % len(r.lines)
	r.full = r.full || r.next == 0
}

// ordered returns the lines, oldest first.
func (r *Ring) ordered() []line {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]line(nil), r.lines[:r.next]...)
	}
	return append(append([]line(nil), r.lines[r.next:]...), r.lines[:r.next]...)
}

// Request returns the lines about a request id as JSON, oldest first.
func (r *Ring) Request(id string) []json.RawMessage {
	return r.find(func(l line) bool { return l.stringField(requestField) == id })
}

// Shard returns the placement lines with the service and the shard as fields, as
// JSON, oldest first. It does not search the lines that list several shards; for shard
// 0 it also returns these, since it reads a missing field as 0.
func (r *Ring) Shard(service string, shard uint32) []json.RawMessage {
	return r.find(func(l line) bool {
		return l.entry.Message == placementMessage && l.stringField("service") == service && l.intField("shard") == int64(shard)
	})
}

func (r *Ring) find(matches func(line) bool) []json.RawMessage {
	found := []json.RawMessage{}
	for _, l := range r.ordered() {
		if matches(l) {
			found = append(found, l.encode())
		}
	}
	return found
}

func (l line) field(key string) zapcore.Field {
	for _, f := range l.fields {
		if f.Key == key {
			return f
		}
	}
	return zapcore.Field{}
}

func (l line) stringField(key string) string { return l.field(key).String }

func (l line) intField(key string) int64 { return l.field(key).Integer }

func (l line) encode() json.RawMessage {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	buf, err := zapcore.NewJSONEncoder(config).EncodeEntry(l.entry, l.fields)
	if err != nil {
		return json.RawMessage(`{"msg":"log line cannot be encoded"}`)
	}
	defer buf.Free()
	return bytes.Clone(bytes.TrimSpace(buf.Bytes()))
}

// ringCore is the zapcore.Core that stores lines in a ring.
type ringCore struct {
	ring    *Ring
	context []zapcore.Field
}

// Enabled implements zapcore.LevelEnabler.
func (c *ringCore) Enabled(level zapcore.Level) bool { return level >= zapcore.InfoLevel }

// With implements zapcore.Core.
func (c *ringCore) With(fields []zapcore.Field) zapcore.Core {
	joined := append(append([]zapcore.Field(nil), c.context...), fields...)
	return &ringCore{ring: c.ring, context: joined}
}

// Check implements zapcore.Core.
func (c *ringCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core. It retains fields without a copy, which relies on
// callers not to modify a field slice after logging it.
func (c *ringCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if entry.Message != placementMessage && !hasRequest(fields) {
		return nil
	}
	if len(c.context) > 0 {
		fields = append(append([]zapcore.Field(nil), c.context...), fields...)
	}
	c.ring.add(line{entry, fields})
	return nil
}

func hasRequest(fields []zapcore.Field) bool {
	return slices.ContainsFunc(fields, func(f zapcore.Field) bool { return f.Key == requestField })
}

// Sync implements zapcore.Core.
func (c *ringCore) Sync() error { return nil }
