package backend

import (
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// batchInterval is the time over which changes of holds are collected into one
	// line: hundreds occur at once when shards are transferred.
	batchInterval = 200 * time.Millisecond
	// maxShardsText is the length, in bytes, of the list of shards in a line beyond
	// which no shard is added.
	maxShardsText = 400
)

// holdLog logs keys that were granted to the server or revoked, several shards per
// line. It is safe for concurrent use.
type holdLog struct {
	log    *zap.Logger
	mu     sync.Mutex
	events map[string]*holdEvent // by message and service
}

type holdEvent struct {
	message, service    string
	shards              string
	count, withHandover int
}

func newHoldLog(log *zap.Logger) *holdLog {
	return &holdLog{log: log, events: map[string]*holdEvent{}}
}

// add adds a change of one shard. handover reports whether a handover token came
// with it.
func (l *holdLog) add(message string, id view.ShardID, token uint64, handover bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := message + "/" + id.Service
	ev, ok := l.events[key]
	if !ok {
		ev = &holdEvent{message: message, service: id.Service}
		l.events[key] = ev
		time.AfterFunc(batchInterval, func() { l.flush(key) })
	}
	ev.count++
	if handover {
		ev.withHandover++
	}
	if len(ev.shards) < maxShardsText {
		ev.shards += strconv.FormatUint(uint64(id.Shard), 10) + "@" + strconv.FormatUint(token, 10) + " "
	}
}

func (l *holdLog) flush(key string) {
	l.mu.Lock()
	ev := l.events[key]
	delete(l.events, key)
	l.mu.Unlock()
	l.log.Info(ev.message, zap.String("service", ev.service), zap.String("shards", ev.shards),
		zap.Int("count", ev.count), zap.Int("with_handover", ev.withHandover))
}
