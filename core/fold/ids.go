package fold

// idWindowSize is the number of newest record ids that are remembered. A
// duplicate appended later than that is still harmless where the body names a
// generation or incarnation.
const idWindowSize = 1 << 14

// idWindow remembers the newest record ids in order of arrival.
type idWindow struct {
	order []([16]byte)
	next  int
	set   map[[16]byte]struct{}
}

func newIDWindow() *idWindow {
	return &idWindow{set: make(map[[16]byte]struct{})}
}

// add remembers id and reports whether it is new.
func (w *idWindow) add(id [16]byte) bool {
	if _, ok := w.set[id]; ok {
		return false
	}
	if len(w.order) < idWindowSize {
		w.order = append(w.order, id)
	} else {
		delete(w.set, w.order[w.next])
		w.order[w.next] = id
		w.next = (w.next + 1) % idWindowSize
	}
	w.set[id] = struct{}{}
	return true
}
