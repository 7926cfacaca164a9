package logstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// MaxRecordBytes is the largest size of a record.
const MaxRecordBytes = 1 << 20

// maxBatchBytes bounds the size of a response body.
const maxBatchBytes = 64 << 20

// responseGrace is the time that a read may take in addition to its wait.
const responseGrace = 5 * time.Second

// HTTP is a Log that is accessed over HTTP.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a client of the log at base, for example "http://127.0.0.1:7000".
func NewHTTP(base string) *HTTP {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	return &HTTP{base: base, client: &http.Client{Transport: transport}}
}

func (h *HTTP) recordsURL(stream string) string {
	return h.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log.
func (h *HTTP) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("logstream: append: %w", err)
	}
	var body struct {
		Offset uint64 `json:"offset"`
	}
	status, err := h.do(req, &body)
	if err != nil || status != http.StatusOK {
		return 0, AppendFailure(status, err)
	}
	return body.Offset, nil
}

// Read implements Log.
func (h *HTTP) Read(ctx context.Context, stream string, from uint64, max, waitMS int) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(waitMS)*time.Millisecond+responseGrace)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(OffsetOf(from), 10))
	query.Set("max", strconv.Itoa(max))
	query.Set("wait_ms", strconv.Itoa(waitMS))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Batch{}, fmt.Errorf("logstream: read: %w", err)
	}
	var answer struct {
		Batch
		Era uint64 `json:"era"`
	}
	status, err := h.do(req, &answer)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: read: %w", ErrUnavailable, err)
	}
	if status != http.StatusOK && status != http.StatusGone {
		return Batch{}, fmt.Errorf("%w: read: status %d", ErrUnavailable, status)
	}
	if restored, err := CheckEra(answer.Era, from); err != nil {
		return restored, err
	}
	batch := answer.Batch.inEra(answer.Era)
	if status == http.StatusGone {
		return Batch{First: batch.First, Next: batch.Next}, ErrTrimmed
	}
	return batch, nil
}

// inEra returns the batch of offsets with positions in an era.
func (b Batch) inEra(era uint64) Batch {
	out := Batch{First: Position(era, b.First), Next: Position(era, b.Next)}
	for _, e := range b.Records {
		out.Records = append(out.Records, Entry{Offset: Position(era, e.Offset), Data: e.Data})
	}
	return out
}

// do sends a request and decodes the response body into out if the status is 200
// or 410. It returns the status.
func (h *HTTP) do(req *http.Request, out any) (int, error) {
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBatchBytes)).Decode(out); err != nil {
		return 0, fmt.Errorf("decode: %w", err)
	}
	return resp.StatusCode, nil
}

var _ Log = (*HTTP)(nil)
