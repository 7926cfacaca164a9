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

// Ring is a ring buffer of the newest lines. It is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	lines []line
	kinds map[string][]*kind // by message
	next  int                // index of the next line to write
	full  bool
}

// NewRing returns a ring of at most size lines. size must be positive.
func NewRing(size int) *Ring { return &Ring{lines: make([]line, size), kinds: map[string][]*kind{}} }

// Attach returns a logger that writes to log and stores lines about requests and
// placements in the ring.
func (r *Ring) Attach(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewTee(core, &ringCore{ring: r})
	}))
}

func (r *Ring) add(entry zapcore.Entry, context, fields []zapcore.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[r.next].set(entry.Time, r.kindOf(entry, context, fields), context, fields)
	r.next = (r.next + 1) % len(r.lines)
	r.full = r.full || r.next == 0
}

// Request returns the lines about a request id as JSON, oldest first.
func (r *Ring) Request(id string) []json.RawMessage {
	return r.find(func(l *line) bool { return l.field(requestField).String == id })
}

// Shard returns the placement lines with the service and the shard as fields, as
// JSON, oldest first. It does not search the lines that list several shards; for shard
// 0 it also returns these, since it reads a missing field as 0.
func (r *Ring) Shard(service string, shard uint32) []json.RawMessage {
	return r.find(func(l *line) bool {
		return l.kind.entry.Message == placementMessage && l.field("service").String == service && l.field("shard").Integer == int64(shard)
	})
}

func (r *Ring) find(matches func(*line) bool) []json.RawMessage {
	found := []json.RawMessage{}
	for _, l := range r.copyOf(matches) {
		found = append(found, encode(l.entry, l.fields))
	}
	return found
}

// logged is a line as it was logged.
type logged struct {
	entry  zapcore.Entry
	fields []zapcore.Field
}

// copyOf returns the lines that match, oldest first.
func (r *Ring) copyOf(matches func(*line) bool) []logged {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []logged
	collect := func(lines []line) {
		for i := range lines {
			if l := &lines[i]; matches(l) {
				found = append(found, l.logged())
			}
		}
	}
	if r.full {
		collect(r.lines[r.next:])
	}
	collect(r.lines[:r.next])
	return found
}

func encode(entry zapcore.Entry, fields []zapcore.Field) json.RawMessage {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	buf, err := zapcore.NewJSONEncoder(config).EncodeEntry(entry, fields)
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

// Write implements zapcore.Core. It retains what fields refer to without a copy, which
// relies on callers not to modify it after logging.
func (c *ringCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if entry.Message != placementMessage && !hasRequest(fields) {
		return nil
	}
	c.ring.add(entry, c.context, fields)
	return nil
}

func hasRequest(fields []zapcore.Field) bool {
	return slices.ContainsFunc(fields, func(f zapcore.Field) bool { return f.Key == requestField })
}

// Sync implements zapcore.Core.
func (c *ringCore) Sync() error { return nil }
