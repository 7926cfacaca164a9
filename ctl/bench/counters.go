package bench

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Counters of daemons that experiments read.
const (
	counterRetries  = "sesamemoor_request_retries_total"
	counterRequests = "sesamemoor_requests_total"
)

// counter sums a counter over the daemons that answer.
func (f *Fleet) counter(ctx context.Context, name string) float64 {
	sum := 0.0
	for _, s := range f.servers {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.admin+"/metrics", nil)
		if err != nil {
			continue
		}
		resp, err := f.client.Do(req)
		if err != nil {
			continue
		}
		sum += sumCounter(resp.Body, name)
		_ = resp.Body.Close()
	}
	return sum
}

// sumCounter sums the samples of a counter in Prometheus text format.
func sumCounter(r io.Reader, name string) float64 {
	sum := 0.0
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		rest, ok := strings.CutPrefix(line, name)
		if !ok || rest == "" || rest[0] != '{' && rest[0] != ' ' {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err == nil {
			sum += value
		}
	}
	return sum
}
