package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A patch that an operator makes on the version that a restored log shows must come into
// force also where a later version was known.
func TestPatchAfterRestoreIsNotTaken(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 1, faultOdds{})
	w.start()
	for i := range 3 {
		w.patch(fmt.Sprintf(`{"services":{"storefront":{"default_timeout_ms":%d}}}`, 1000+i))
	}
	is.NoErr(w.run(5 * time.Second))
	n := w.nodes[0]
	known := n.state.history.Version
	is.Equal(known, uint64(len(w.cfg))) // all patches are in force
	timeout := func(n *node) int64 { return n.state.history.Config.Services["storefront"].DefaultTimeoutMS }
	first := logstream.Position(2, 1)
	w.step(n, Trimmed{Stream: logstream.ConfigStream, First: first})
	restored := w.cfg[:len(w.cfg)-2]
	w.step(n, Records{Stream: logstream.ConfigStream, Entries: inEra(2, restored), Next: logstream.Position(2, uint64(len(restored)+1)), AsOf: w.clock(n)})
	is.Equal(n.state.history.Version, known) // what is in force stays
	patch, err := proto.Marshal(&wire.Record{Id: []byte("after-restore-00"), Version: 1, Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{
		BaseVersion: uint64(len(restored)), MergePatch: []byte(`{"services":{"storefront":{"default_timeout_ms":7000}}}`)}}})
	is.NoErr(err)
	entries := inEra(2, append(restored[:len(restored):len(restored)], logstream.Entry{Data: patch}))
	w.step(n, Records{Stream: logstream.ConfigStream, Entries: entries, Next: logstream.Position(2, uint64(len(entries)+1)), AsOf: w.clock(n)})
	is.True(n.state.history.Version > known)
	is.Equal(timeout(n), int64(7000))

	started := w.nodes[1] // a daemon that starts reads the restored log only
	w.restart(started)
	w.step(started, Records{Stream: logstream.ConfigStream, Entries: entries, Next: logstream.Position(2, uint64(len(entries)+1)), AsOf: w.clock(started)})
	is.Equal(timeout(started), int64(7000))
	is.Equal(started.state.history.Version, n.state.history.Version)
}

// inEra returns records at the positions from the start of an era.
func inEra(era uint64, records []logstream.Entry) []logstream.Entry {
	var entries []logstream.Entry
	for i, e := range records {
		entries = append(entries, logstream.Entry{Offset: logstream.Position(era, uint64(i+1)), Data: e.Data})
	}
	return entries
}
