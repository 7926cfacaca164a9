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
		w.patch(fmt.Sprintf(`{"limits":{"stale_config_ms":%d}}`, 1000+i))
	}
	is.NoErr(w.run(5 * time.Second))
	n := w.nodes[0]
	known := n.state.history.Version
	first := logstream.Position(2, 1)
	w.step(n, Trimmed{Stream: logstream.ConfigStream, First: first})
	restored := w.cfg[:len(w.cfg)-2]
	patch, err := proto.Marshal(&wire.Record{Id: []byte("after-restore-00"), Version: 1, Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{
		BaseVersion: uint64(len(restored)), MergePatch: []byte(`{"limits":{"stale_config_ms":7000}}`)}}})
	is.NoErr(err)
	var entries []logstream.Entry
	for i, e := range append(restored[:len(restored):len(restored)], logstream.Entry{Data: patch}) {
		entries = append(entries, logstream.Entry{Offset: logstream.Position(2, uint64(i+1)), Data: e.Data})
	}
	w.step(n, Records{Stream: logstream.ConfigStream, Entries: entries, Next: logstream.Position(2, uint64(len(entries)+1)), AsOf: w.clock(n)})
	is.True(n.state.history.Version > known)
}
