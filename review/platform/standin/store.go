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

// store is a stand-in of the platform's store: the calls of the log that the daemons use,
// with topics of one partition and nothing forgotten.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]int // offset by key
}

const pageItems = 500

func newStore() *store { return &store{topics: map[string]*topic{}, changed: make(chan struct{})} }

// put writes a record with a key, as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, content []byte) int {
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, content)
	if n := 1 + int(content[0]); len(content) >= n {
		key := string(content[1:n])
		if len(content) == n {
			delete(t.newest, key)
		} else {
			t.newest[key] = offset
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sesamemoor/log-append", s.serveAppend)
	mux.HandleFunc("GET /sesamemoor/log-read", s.serveRead)
	mux.HandleFunc("GET /sesamemoor/log-newest", s.serveNewest)
	return mux
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 5 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(rest))
		records = append(records, rest[4:n])
		rest = rest[n:]
	}
	s.mu.Lock()
	first, end := -1, len(s.topic(r.URL.Query().Get("topic")).records)
	for _, rec := range records {
		offset := s.append(r.URL.Query().Get("topic"), rec)
		if first < 0 {
			first = offset
		}
		end = offset + 1
	}
	s.mu.Unlock()
	writeJSON(w, map[string]any{"offset": first, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		records := s.topic(q.Get("topic")).records
		changed := s.changed
		s.mu.Unlock()
		if from < 0 || from > len(records) {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]any{"first": 0})
			return
		}
		if from < len(records) || over {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after, more := r.URL.Query().Get("after"), false
	items := []map[string]any{}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		offset := t.newest[key]
		value := t.records[offset][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	writeJSON(w, map[string]any{"items": items, "more": more, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
