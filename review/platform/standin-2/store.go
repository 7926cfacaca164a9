package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as far as daemons call it. All topics have
// names that begin with "keyed." and one partition. Records expire keep after they were appended;
// the newest record of each key is retained permanently.
type store struct {
	keep time.Duration

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	first   uint64 // offset of history[0]
	history []entry
	newest  map[string]newest
}

type entry struct {
	content []byte // length of the key in one byte, key, value
	at      time.Time
}

type newest struct {
	offset uint64
	value  []byte
}

func newStore(keep time.Duration) *store {
	return &store{keep: keep, topics: map[string]*topic{}, changed: make(chan struct{})}
}

// get returns a topic without the records that have expired. The caller holds the lock.
func (s *store) get(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]newest{}}
		s.topics[name] = t
	}
	expired := 0
	for expired < len(t.history) && time.Since(t.history[expired].at) > s.keep {
		expired++
	}
	t.history = t.history[expired:]
	t.first += uint64(expired)
	return t
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.history)) }

// append adds a record. The caller holds the lock.
func (s *store) append(name string, content []byte) uint64 {
	t := s.get(name)
	offset := t.end()
	t.history = append(t.history, entry{content, time.Now()})
	n := 1 + int(content[0])
	key, value := string(content[1:n]), content[n:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newest{offset, value}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// put writes a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// size returns the offset of the oldest record in the history of a topic, and its end.
func (s *store) size(name string) (first, end uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(name)
	return t.first, t.end()
}

// superseded returns the number of records of a topic, from an offset on, that are not the newest
// of their key.
func (s *store) superseded(name string) (gaps []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(name)
	kept := map[uint64]bool{}
	for _, n := range t.newest {
		kept[n.offset] = true
	}
	for offset := uint64(0); offset < t.end(); offset++ {
		if !kept[offset] {
			gaps = append(gaps, offset)
		}
	}
	return gaps
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sesamemoor/log-append", s.serveAppend)
	mux.HandleFunc("GET /sesamemoor/log-read", s.serveRead)
	mux.HandleFunc("GET /sesamemoor/log-newest", s.serveNewest)
	return mux
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	q := r.URL.Query()
	if err != nil || len(body) < 6 || q.Get("topic") == "keyed.op" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(q.Get("topic"))
	if at := q.Get("at"); at != "" && at != strconv.FormatUint(t.end(), 10) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end": t.end()})
		return
	}
	first := t.end()
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		s.append(q.Get("topic"), body[4:4+n])
		body = body[4+n:]
	}
	writeJSON(w, map[string]any{"offset": first, "end": t.end()})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		t := s.get(q.Get("topic"))
		first, end := t.first, t.end()
		var out []byte
		if from >= first && (from < end || over) {
			out = binary.BigEndian.AppendUint64(nil, end)
			out = binary.BigEndian.AppendUint64(out, first)
			for _, e := range t.history[min(from-first, uint64(len(t.history))):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(e.content)))
				out = append(out, e.content...)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if from < first {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]any{"first": first})
			return
		}
		if out != nil {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.get(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	items, more, size := []map[string]any{}, false, 0
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		n := t.newest[key]
		if len(items) == 500 || size+len(n.value) > 1<<20 {
			more = true
			break
		}
		size += len(n.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(n.value), "offset": n.offset})
	}
	end := t.end()
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
