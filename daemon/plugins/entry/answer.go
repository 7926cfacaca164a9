package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
)

// Refusal is the JSON body of a response that this system generates in place of
// one from the backend server.
type Refusal struct {
	Outcome   string `json:"outcome"`
	Ran       string `json:"ran"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id"`
}

// defaultRetryAfterS is the Retry-After value, in seconds, of refusals that are
// safe to retry and carry no other value.
const defaultRetryAfterS = "1"

// setRetryAfter sets the Retry-After header from err, in whole seconds rounded
// up.
func setRetryAfter(h http.Header, err error) {
	var e *outcome.Err
	if errors.As(err, &e) && e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
}

// writeResponse writes the owner's response, or a refusal if its kind is not OK. It returns
// how many bytes of the body were taken.
func writeResponse(w http.ResponseWriter, r *http.Request, req *wire.Request, resp *wire.Response) (int, error) {
	kind := outcome.Kind(resp.GetKind())
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(edge.WriteTimeout))
	h := w.Header()
	if kind == outcome.OK {
		copyHeaders(h, r.Method, resp)
	}
	h.Set(HeaderRequestID, req.GetRequestId())
	h.Set(HeaderOutcome, kind.String())
	h.Set(HeaderRan, kind.Answer().Ran.String())
	if kind == outcome.OK {
		status := int(resp.GetStatus())
		w.WriteHeader(status)
		if status == http.StatusNoContent || status == http.StatusNotModified {
			return 0, nil
		}
		return w.Write(resp.GetBody())
	}
	return writeRefusal(w, kind, resp, req)
}

// copyHeaders copies the backend server's headers except hop-by-hop and system
// headers. Content-Length is the length of the body that follows; only a response
// to HEAD keeps the value that the backend server sent.
func copyHeaders(h http.Header, method string, resp *wire.Response) {
	for name, value := range edge.EndToEndHeaders(resp) {
		if !strings.HasPrefix(name, systemHeaderPrefix) {
			h.Add(name, value)
		}
	}
	status := int(resp.GetStatus())
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified:
	case method == http.MethodHead:
		if length := headerValue(resp.GetHeaders(), "Content-Length"); length != "" {
			h.Set("Content-Length", length)
		}
	default:
		h.Set("Content-Length", strconv.Itoa(len(resp.GetBody())))
	}
}

func headerValue(fields []*wire.Header, name string) string {
	for _, f := range fields {
		if http.CanonicalHeaderKey(f.GetName()) == name {
			return f.GetValue()
		}
	}
	return ""
}

func writeRefusal(w http.ResponseWriter, kind outcome.Kind, resp *wire.Response, req *wire.Request) (int, error) {
	answer := kind.Answer()
	body, err := json.Marshal(Refusal{
		Outcome: kind.String(), Ran: answer.Ran.String(), Detail: resp.GetDetail(), RequestID: req.GetRequestId(),
	})
	if err != nil {
		body = []byte("{}")
	}
	if answer.RetrySafe && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", defaultRetryAfterS)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(answer.Status)
	return w.Write(append(body, '\n'))
}

// logRequest logs the routing decision and the outcome of the request.
func (e *entry) logRequest(r *http.Request, x *exchange, resp *wire.Response, took time.Duration) {
	kind := outcome.Kind(resp.GetKind())
	answer := kind.Answer()
	level := zap.InfoLevel
	switch answer.Level {
	case outcome.Warn:
		level = zap.WarnLevel
	case outcome.Error:
		level = zap.ErrorLevel
	}
	line := e.log.Check(level, "request")
	if line == nil {
		return
	}
	owner := ""
	if x.target != nil {
		owner = x.target.Slot
	}
	generation := resp.GetGeneration()
	if generation == 0 {
		generation = x.req.GetGeneration()
	}
	fields := append(edge.ConnFields(r),
		zap.String("request_id", x.req.GetRequestId()),
		zap.String("team", x.req.GetTeam()),
		zap.String("service", x.req.GetService()),
		zap.Uint32("shard", x.req.GetShard()),
		zap.Uint64("generation", generation),
		zap.Uint64("config_version", x.configVersion),
		zap.Int64("config_age_ms", x.configAge.Milliseconds()),
		zap.String("owner", owner),
		zap.String("reason", resp.GetDetail()),
		zap.Stringer("outcome", kind),
		zap.Stringer("ran", answer.Ran),
		zap.Uint32("attempts", x.req.GetAttempt()),
		zap.Float64("ms", float64(took.Microseconds())/1000),
		zap.Int("body_bytes", len(resp.GetBody())),
		edge.FramingField(r, int(resp.GetStatus())),
		edge.LeavingField(e.ctrl.View(), e.clock.Now()),
	)
	line.Write(fields...)
}
