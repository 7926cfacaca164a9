package bench

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Metrics that experiments read from daemons.
const (
	counterRetries  = "sesamemoor_request_retries_total"
	counterRequests = "sesamemoor_requests_total"
)

// counterTotal returns the sum of a counter over all daemons. Daemons that do not
// respond count as 0.
func (f *Fleet) counterTotal(ctx context.Context, name string) float64 {
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

// sumCounter returns the sum of a counter's samples in Prometheus text format.
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
