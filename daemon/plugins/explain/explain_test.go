package explain

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/decisions"
)

// fakeControl returns one view and ignores events.
type fakeControl struct{ view *view.View }

func (*fakeControl) Post(control.Event) {}

func (c *fakeControl) View() *view.View { return c.view }

func getExplain(t *testing.T, h http.Handler, query string) (int, Response) {
	t.Helper()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/explain?"+query, nil))
	var resp Response
	if rec.Code == http.StatusOK {
		if err := json.Unmarshal(rec.Body.Bytes(), &resp); err != nil {
			t.Fatal(err)
		}
	}
	return rec.Code, resp
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	ring := decisions.NewRing(8)
	log := ring.Attach(zap.NewNop())
	log.Info("request", zap.String("request_id", "r1"), zap.String("outcome", "no_owner"))
	log.Info("placement", zap.String("service", "s"), zap.Uint32("shard", 0), zap.String("action", "take_over"))
	owner := &view.Member{Slot: "one", BackendName: "b1"}
	c := &fakeControl{view: &view.View{ConfigVersion: 5, Services: map[string]*view.Service{
		"s": {Base: 1, Shards: []view.Shard{{Owner: owner, Generation: 3}}},
	}}}
	h := newAdminRoute(settings.Daemon{Slot: "one"}, c, ring).Handler

	code, resp := getExplain(t, h, "request_id=r1")
	is.Equal(code, http.StatusOK)
	is.Equal(len(resp.Lines), 1)
	is.True(resp.Shard == nil)

	_, resp = getExplain(t, h, "service=s&key=k")
	is.Equal(*resp.Shard, Shard{Service: "s", Generation: 3, Owner: "one", OwnerServer: "b1", ConfigVersion: 5})
	is.Equal(len(resp.Lines), 1)

	_, resp = getExplain(t, h, "request_id=r2")
	is.Equal(len(resp.Lines), 0)
	_, resp = getExplain(t, h, "service=nowhere&key=k")
	is.True(resp.Shard == nil)
	code, _ = getExplain(t, h, "service=s")
	is.Equal(code, http.StatusBadRequest)
}
