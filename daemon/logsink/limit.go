package logsink

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// limitWindow is the time over which lines of one message and outcome are counted.
	limitWindow = time.Second
	// okLines is the maximum number of lines per window for successful requests. A
	// small deployment logs all of them, a large one a sample.
	okLines = 50
	// failedLines is the maximum number of lines per window for each other outcome.
	// It exceeds okLines, so that failures are omitted last.
	failedLines = 200
	// okOutcome is the outcome of successful requests.
	okOutcome = "ok"
	// outcomeField is the key of the field with the outcome of a request.
	outcomeField = "outcome"
	// requestField is the key of the field with the id of the request.
	requestField = "request_id"
)

// Limit returns a core that limits the lines about single requests to okLines or
// failedLines per limitWindow for each message and outcome. A line "lines left out"
// reports the number of omitted lines. All other lines are written.
func Limit(core zapcore.Core) zapcore.Core {
	return &limitedCore{Core: core, budgets: &budgets{windows: map[lineClass]*window{}}}
}

type limitedCore struct {
	zapcore.Core
	budgets *budgets
}

// With implements zapcore.Core.
func (l *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: l.Core.With(fields), budgets: l.budgets}
}

// Check implements zapcore.Core.
func (l *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(entry.Level) {
		return checked.AddCore(entry, l)
	}
	return checked
}

// Write implements zapcore.Core.
func (l *limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	class, ok := classOf(entry, fields)
	if ok && !l.budgets.allow(class, entry.Time, func(count int) { l.logOmitted(class, count) }) {
		return nil
	}
	return l.Core.Write(entry, fields)
}

func (l *limitedCore) logOmitted(class lineClass, count int) {
	entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: time.Now(), Message: "lines left out"}
	_ = l.Core.Write(entry, []zapcore.Field{ // no other place to report the error
		zap.String("of", class.message), zap.String("with_outcome", class.outcome), zap.Int("count", count),
	})
}

// lineClass identifies lines that share a budget.
type lineClass struct{ message, outcome string }

// classOf returns the class of a line about a single request, or false for any other
// line.
func classOf(entry zapcore.Entry, fields []zapcore.Field) (lineClass, bool) {
	class := lineClass{message: entry.Message}
	hasRequest := false
	for _, f := range fields {
		switch f.Key {
		case requestField:
			hasRequest = true
		case outcomeField:
			class.outcome = fieldText(f)
		}
	}
	return class, hasRequest && class.outcome != ""
}

func fieldText(f zapcore.Field) string {
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

// window counts the lines of one class in the current window.
type window struct {
	start   time.Time
	written int
	omitted int
}

// allow reports whether one more line may be written now. At the end of the window it
// calls report with the number of omitted lines, if there are any.
func (b *budgets) allow(class lineClass, now time.Time, report func(count int)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.windows[class]
	if !ok {
		w = &window{start: now}
		b.windows[class] = w
	}
	if now.Sub(w.start) >= limitWindow && w.omitted == 0 {
		*w = window{start: now}
	}
	limit := failedLines
	if class.outcome == okOutcome {
		limit = okLines
	}
	if w.written < limit {
		w.written++
		return true
	}
	if w.omitted++; w.omitted == 1 {
		time.AfterFunc(limitWindow-now.Sub(w.start), func() { report(b.reset(w)) })
	}
	return false
}

// reset starts a new window and returns the number of lines omitted in the old one.
func (b *budgets) reset(w *window) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := w.omitted
	*w = window{start: time.Now()}
	return count
}
