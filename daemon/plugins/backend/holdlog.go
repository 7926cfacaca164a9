package backend

import (
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// gatherTime is the time for which changes of holds are gathered in one line:
	// hundreds come at once when shards change hands.
	gatherTime = 200 * time.Millisecond
	// maxNamedShards bounds the text that names the shards of one line.
	maxNamedShards = 400
)

// holdLog writes what the server was granted and gave back, several shards a
// line. It is safe for concurrent use.
type holdLog struct {
	log    *zap.Logger
	mu     sync.Mutex
	events map[string]*holdEvent // by message and service
}

type holdEvent struct {
	message, service string
	shards           string
	count, warm      int
}

func newHoldLog(log *zap.Logger) *holdLog {
	return &holdLog{log: log, events: map[string]*holdEvent{}}
}

// note adds a change of one shard. handover tells that it came or went with the
// holder's token.
func (l *holdLog) note(message string, id view.ShardID, token uint64, handover bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := message + "/" + id.Service
	ev, ok := l.events[key]
	if !ok {
		ev = &holdEvent{message: message, service: id.Service}
		l.events[key] = ev
		time.AfterFunc(gatherTime, func() { l.write(key) })
	}
	ev.count++
	if handover {
		ev.warm++
	}
	if len(ev.shards) < maxNamedShards {
		ev.shards += strconv.FormatUint(uint64(id.Shard), 10) + "@" + strconv.FormatUint(token, 10) + " "
	}
}

func (l *holdLog) write(key string) {
	l.mu.Lock()
	ev := l.events[key]
	delete(l.events, key)
	l.mu.Unlock()
	l.log.Info(ev.message, zap.String("service", ev.service), zap.String("shards", ev.shards),
		zap.Int("count", ev.count), zap.Int("with_handover", ev.warm))
}
