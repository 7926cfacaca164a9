// Package idwindow tracks the newest record ids of a stream, so that replay ignores a
// record that was appended twice. The window is part of the replayed state: equal
// streams yield equal windows.
package idwindow

// Size is the number of ids in a full window. A duplicate whose id has left the window
// is rejected because of the generation, incarnation or version in its body.
const Size = 1 << 14

// IDBytes is the length of a record id. Reject messages in packages fold and fleet
// state the number too.
const IDBytes = 16

// ID is a record id.
type ID = [IDBytes]byte

// Window holds the newest Size ids in order of arrival. It is not safe for concurrent
// use.
type Window struct {
	order []ID
	next  int // position of the oldest id once the window is full
	set   map[ID]struct{}
}

// New returns an empty window.
func New() *Window { return &Window{set: make(map[ID]struct{})} }

// Add adds id and reports whether it was absent. A full window evicts its oldest id.
func (w *Window) Add(id ID) bool {
	if _, ok := w.set[id]; ok {
		return false
	}
	if len(w.order) < Size {
		w.order = append(w.order, id)
	} else {
		delete(w.set, w.order[w.next])
		w.order[w.next] = id
		w.next = (w.next + 1) % Size
	}
	w.set[id] = struct{}{}
	return true
}

// Encode returns the ids concatenated, oldest first.
func (w *Window) Encode() []byte {
	out := make([]byte, 0, len(w.order)*IDBytes)
	for i := range w.order {
		id := w.order[(w.next+i)%len(w.order)]
		out = append(out, id[:]...)
	}
	return out
}

// Decode returns the window encoded by Encode. It reports false if data is not a
// sequence of at most Size distinct ids.
func Decode(data []byte) (*Window, bool) {
	if len(data)%IDBytes != 0 || len(data) > Size*IDBytes {
		return nil, false
	}
	w := New()
	for ; len(data) > 0; data = data[IDBytes:] {
		if !w.Add(ID(data[:IDBytes])) {
			return nil, false
		}
	}
	return w, true
}
