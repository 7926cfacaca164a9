package relay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// minDeflateBytes is the size from which on a record is compressed for peers.
	minDeflateBytes = 4 << 10
	// maxInflatedBytes bounds a record after decompression.
	maxInflatedBytes = 32 << 20
)

// deflate returns data compressed, or nil if it does not become smaller.
func deflate(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := w.Write(data); err != nil {
		return nil
	}
	if err := w.Close(); err != nil || out.Len() >= len(data) {
		return nil
	}
	return out.Bytes()
}

// recordOf returns the record of an entry that a peer sent.
func recordOf(e *wire.LogEntry) ([]byte, error) {
	if !e.GetDeflated() {
		return e.GetData(), nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(e.GetData())), maxInflatedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("relay: record %d: %w", e.GetOffset(), err)
	}
	if len(data) > maxInflatedBytes {
		return nil, fmt.Errorf("relay: record %d exceeds %d bytes", e.GetOffset(), maxInflatedBytes)
	}
	return data, nil
}
