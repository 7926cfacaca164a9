package operator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestReplayStartsFromSnapshot patches, writes a snapshot as a daemon does,
// patches again, trims the first patches and the log's beginning, and reads.
func TestReplayStartsFromSnapshot(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), waitBound)
	defer cancel()
	c, log := newConfig(t)
	_, err := c.Patch(ctx, 0, dataCentrePatch("a"), "")
	is.NoErr(err)
	_, err = c.Patch(ctx, 1, dataCentrePatch("b"), "")
	is.NoErr(err)
	history, _, err := c.Replay(ctx)
	is.NoErr(err)
	state, err := history.Encode()
	is.NoErr(err)
	for _, part := range snapshot.Cut(logstream.ConfigStream, history.Next, state) {
		id := snapshot.RecordID(part)
		data, err := proto.Marshal(&wire.Record{
			Id: id[:], Version: fleet.RecordVersion, Body: &wire.Record_Snapshot{Snapshot: part}})
		is.NoErr(err)
		_, err = c.Log.Append(ctx, logstream.ConfigStream, data)
		is.NoErr(err)
	}
	_, err = c.Patch(ctx, 2, dataCentrePatch("c"), "")
	is.NoErr(err)
	whole, _, err := c.Replay(ctx)
	is.NoErr(err)

	trim(t, log.Handler(), `{"stream":"config","before":3}`)
	restored, changes, err := c.Replay(ctx)
	is.NoErr(err)
	is.Equal(restored.Version, uint64(3))
	is.True(bytes.Equal(restored.Doc, whole.Doc))
	is.Equal(len(changes), 1) // what is left of the history
	_, err = c.Patch(ctx, 3, dataCentrePatch("d"), "")
	is.NoErr(err)

	trim(t, log.Handler(), `{"stream":"config","before":4}`)
	_, _, err = c.Replay(ctx)
	is.True(err != nil) // the snapshot is gone too
}

func trim(t *testing.T, h http.Handler, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "/admin/trim", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	if w.Code != http.StatusNoContent {
		t.Fatalf("trim: status %d", w.Code)
	}
}
