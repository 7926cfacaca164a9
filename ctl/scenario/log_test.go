package scenario

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// cmdFlood: flood STREAM N appends N records that cannot be decoded, which replay
// skips.
func (s *scenario) cmdFlood(_ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	log := logstream.NewHTTP("http://" + s.fleet.logAddr)
	for range n {
		if _, err := log.Append(context.Background(), args[0], []byte("not a record")); err != nil {
			return err
		}
	}
	return nil
}

// trimToSnapshot trims the records before the first complete snapshot of a stream.
// Records that the snapshot does not contain remain. It returns an error if there
// is no complete snapshot.
func (f *fleet) trimToSnapshot(stream string) error {
	const maxRecords = 1 << 20
	log := logstream.NewHTTP("http://" + f.logAddr)
	batch, err := log.Read(context.Background(), stream, 1, maxRecords, 0)
	if err != nil {
		return err
	}
	parts := map[string]uint32{}
	first := map[string]uint64{}
	for _, e := range batch.Records {
		rec := new(wire.Record)
		snap := rec.GetSnapshot()
		if proto.Unmarshal(e.Data, rec) == nil {
			snap = rec.GetSnapshot()
		}
		if snap == nil {
			continue
		}
		id := string(snap.GetSnapshotId())
		if parts[id]++; parts[id] == 1 {
			first[id] = e.Offset
		}
		if parts[id] == snap.GetParts() {
			return f.trim(stream, min(first[id], snap.GetAsOf()))
		}
	}
	return errors.New("no complete snapshot in the log")
}

func (f *fleet) trim(stream string, before uint64) error {
	body := map[string]any{"stream": stream, "before": before}
	return f.sendJSON(http.MethodPost, "http://"+f.logAddr+"/admin/trim", body)
}

// cmdCold: cold B makes a backend server cold without a restart and without triggering
// an announcement.
func (s *scenario) cmdCold(_ *testscript.TestScript, args []string) error {
	m, err := s.fleet.member(args[0])
	if err != nil {
		return err
	}
	return s.fleet.sendJSON(http.MethodPost, fmt.Sprintf("http://%s/emulate/cold", s.fleet.addr(m.index, backendPort)), nil)
}
