package kernel

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// fixedControl returns one view and ignores events.
type fixedControl struct{ view *view.View }

func (c fixedControl) Post(control.Event) {}
func (c fixedControl) View() *view.View   { return c.view }

func TestGaugesReportView(t *testing.T) {
	is := is.New(t)
	now := clock.Boot{}.Now()
	v := &view.View{
		Lease: new(view.LeaseCell), ConfigFreshness: view.NewFreshness(view.FreshnessLimits{Unconfirmed: time.Second, Replaced: time.Second}), ConfigVersion: 7,
		Held: map[view.ShardID]view.Held{{Service: "s"}: {}},
	}
	v.ConfigFreshness.Advance(now, now)
	v.Lease.Set(now.Add(time.Hour))
	m, err := NewMetrics()
	is.NoErr(err)
	is.NoErr(registerGauges(m, fixedControl{v}, clock.Boot{}))
	scrape := func() string {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	has := func(name, value string) bool {
		for line := range strings.Lines(scrape()) {
			if strings.HasPrefix(line, name+"{") && strings.HasSuffix(line, " "+value+"\n") {
				return true
			}
		}
		return false
	}
	is.True(has("sesamemoor_lease_held", "1"))
	is.True(has("sesamemoor_shards_held", "1"))
	is.True(has("sesamemoor_config_version", "7"))
	v.Lease.Set(now)
	is.True(has("sesamemoor_lease_held", "0"))
}
