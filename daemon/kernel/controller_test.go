package kernel

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// handlerFunc is an EffectHandler.
type handlerFunc func(control.Effect)

func (f handlerFunc) HandleEffect(e control.Effect) { f(e) }

// configRecords returns the records that create one version after base, read as of at.
func configRecords(t *testing.T, base uint64, at clock.Instant) control.Records {
	t.Helper()
	id := make([]byte, 16)
	id[0] = byte(base + 1)
	patch := fmt.Sprintf(`{"teams":{"team-%d":{"rate":1,"burst":1}}}`, base)
	data, err := proto.Marshal(&wire.Record{Id: id, Version: fleet.RecordVersion,
		Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{BaseVersion: base, MergePatch: []byte(patch)}}})
	if err != nil {
		t.Fatal(err)
	}
	return control.Records{Stream: logstream.ConfigStream, Entries: []logstream.Entry{{Offset: base + 1, Data: data}}, Next: base + 2, AsOf: at}
}

// Requests load the view while the control goroutine carries out a step. A configuration
// that is not published yet must not make the one before it count as current: a daemon that
// starts would refuse callers by an empty one, and one that was cut off would admit withdrawn
// keys.
func TestConfigurationIsNotConfirmedBeforeItIsPublished(t *testing.T) {
	set := settings.Default()
	unconfirmed := 10 * time.Duration(set.Bounds.ConfigApplyS*float64(time.Second))
	set.Limits.StaleConfigMS = unconfirmed.Milliseconds()
	for name, tc := range map[string]struct {
		pause time.Duration // before the second version is read
		peer  bool          // a peer has it already
	}{
		"after an outage": {pause: 2 * unconfirmed},
		"after a peer":    {pause: unconfirmed / 2, peer: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewController(set, clock.Boot{}, zap.NewNop())
			now, newest, effects := clock.Boot{}.Now(), uint64(1), 0
			c.handlers = []EffectHandler{handlerFunc(func(e control.Effect) {
				effects++
				if v := c.View(); v.ConfigVersion < newest && !v.ConfigFreshness.Stale(now) {
					t.Errorf("version %d counts as current at %T, before version %d is published", v.ConfigVersion, e, newest)
				}
			})}
			read := func(base uint64) {
				c.apply(c.state.Step(now, configRecords(t, base, now)))
				is.Equal(c.View().ConfigVersion, newest)
				is.True(!c.View().ConfigFreshness.Stale(now))
				is.Equal(c.View().ConfigFreshness.Next(), newest+1)
			}
			read(0)
			now, newest = now.Add(tc.pause), 2
			if tc.peer {
				c.View().ConfigFreshness.ObservePeer(3, now)
			}
			is.True(c.View().ConfigFreshness.Stale(now))
			read(1)
			is.True(effects >= 4) // a decision and a view each
		})
	}
}
