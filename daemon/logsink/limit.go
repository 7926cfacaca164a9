package logsink

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// limitWindow is the time over which lines of one message and outcome count.
	limitWindow = time.Second
	// servedLines is the number of lines in a window for requests that went well:
	// all of them at the load of a small deployment, a sample at that of a large one.
	servedLines = 50
	// failedLines is the same for each other outcome. It is the larger one, so that
	// failures are left out last.
	failedLines = 200
	// servedOutcome is the outcome of requests that went well.
	servedOutcome = "ok"
	// outcomeField marks the lines that one request causes.
	outcomeField = "outcome"
	// requestField names the request that a line is about.
	requestField = "request_id"
)

// Limit returns a core that bounds the lines about single requests: so many a
// second for each message and outcome. What it leaves out is counted in a line
// "lines left out". Other lines pass.
func Limit(core zapcore.Core) zapcore.Core {
	return &limited{Core: core, budgets: &budgets{windows: map[lineClass]*window{}}}
}

type limited struct {
	zapcore.Core
	budgets *budgets
}

// With implements zapcore.Core.
func (l *limited) With(fields []zapcore.Field) zapcore.Core {
	return &limited{Core: l.Core.With(fields), budgets: l.budgets}
}

// Check implements zapcore.Core.
func (l *limited) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(entry.Level) {
		return checked.AddCore(entry, l)
	}
	return checked
}

// Write implements zapcore.Core.
func (l *limited) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	class, ok := classOf(entry, fields)
	if ok && !l.budgets.take(class, entry.Time, func(count int) { l.tellLeftOut(class, count) }) {
		return nil
	}
	return l.Core.Write(entry, fields)
}

func (l *limited) tellLeftOut(class lineClass, count int) {
	entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: time.Now(), Message: "lines left out"}
	_ = l.Core.Write(entry, []zapcore.Field{ // a sink that fails has nowhere to say so
		zap.String("of", class.message), zap.String("with_outcome", class.outcome), zap.Int("count", count),
	})
}

// lineClass is what lines that share a budget have in common.
type lineClass struct{ message, outcome string }

// classOf returns the class of a line about a request; false for other lines.
func classOf(entry zapcore.Entry, fields []zapcore.Field) (lineClass, bool) {
	class := lineClass{message: entry.Message}
	about := false
	for _, f := range fields {
		switch f.Key {
		case requestField:
			about = true
		case outcomeField:
			class.outcome = textOf(f)
		}
	}
	return class, about && class.outcome != ""
}

func textOf(f zapcore.Field) string {
	if s, ok := f.Interface.(fmt.Stringer); ok {
		return s.String()
	}
	return f.String
}

// budgets counts the lines of each class. It is safe for concurrent use.
type budgets struct {
	mu      sync.Mutex
	windows map[lineClass]*window
}

// window counts the lines of one class in the window that runs.
type window struct {
	began   time.Time
	written int
	leftOut int
}

// take reports whether one more line may be written now. tell is called after the
// window with the number of lines that were not.
func (b *budgets) take(class lineClass, now time.Time, tell func(count int)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.windows[class]
	if !ok {
		w = &window{began: now}
		b.windows[class] = w
	}
	if now.Sub(w.began) >= limitWindow && w.leftOut == 0 {
		*w = window{began: now}
	}
	limit := failedLines
	if class.outcome == servedOutcome {
		limit = servedLines
	}
	if w.written < limit {
		w.written++
		return true
	}
	if w.leftOut++; w.leftOut == 1 {
		time.AfterFunc(limitWindow-now.Sub(w.began), func() { tell(b.end(w)) })
	}
	return false
}

// end ends a window that left lines out and returns their number.
func (b *budgets) end(w *window) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := w.leftOut
	*w = window{began: time.Now()}
	return count
}
