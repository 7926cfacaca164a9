package snapshot

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestPartsInAnyOrderGiveTheState adds the parts of two snapshots in random order
// and one part twice. In some runs a part of the first snapshot is damaged.
func TestPartsInAnyOrderGiveTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 3*partBytes).Draw(t, "size")
		state := bytes.Repeat([]byte{7, 1, 9}, size/3+1)[:size]
		parts := Split("s", 40, state)
		other := Split("s", 41, append([]byte{1}, state...))
		damaged := rapid.Bool().Draw(t, "damaged") && size > 0
		if damaged {
			parts[0] = proto.CloneOf(parts[0])
			parts[0].State[0]++
		}
		list := rapid.Permutation(append(parts, other...)).Draw(t, "order")
		a := NewAssembler("s")
		got := map[uint64][]byte{}
		for _, p := range append(list, list[0]) {
			if asOf, data, ok := a.Add(p); ok {
				got[asOf] = data
			}
		}
		if _, ok := got[40]; ok == damaged {
			t.Fatalf("complete: %v, damaged: %v", ok, damaged)
		}
		if !damaged && !bytes.Equal(got[40], state) {
			t.Fatal("reassembled state differs from the original")
		}
		if _, ok := got[41]; !ok {
			t.Fatal("the second snapshot was not reassembled")
		}
	})
}

func TestPartsFitTheLog(t *testing.T) {
	is := is.New(t)
	for _, p := range Split("s", 1, make([]byte, 3*partBytes+1)) {
		data, err := proto.Marshal(&wire.Record{Id: make([]byte, 16), Body: &wire.Record_Snapshot{Snapshot: p}})
		is.NoErr(err)
		is.True(len(data) <= logstream.MaxRecordBytes)
	}
}
