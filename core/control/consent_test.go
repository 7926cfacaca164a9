package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// proposeStandbys proposes another standby for each shard of the service.
func (f *fakeFleet) proposeStandbys(service string) {
	d := f.daemons[0]
	var placements []*wire.Placement
	for i, sh := range d.state.fold.Services[service].Shards {
		next := uint64(0)
		for inc := range d.state.fold.Members {
			if inc != sh.Owner && inc != sh.Standby && (next == 0 || inc < next) {
				next = inc
			}
		}
		placements = append(placements, &wire.Placement{
			Ref:   &wire.ShardRef{Service: service, Shard: uint32(i), Generation: sh.Generation},
			Owner: sh.Owner, Standby: next,
		})
	}
	f.append(d.state.placementStream(), &wire.Record{
		Id: []byte("propose-standbys"), Version: 1, Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: placements}},
	})
}

// TestRefusedConsentKeepsStandby takes the log down just before the standbys of all
// shards consent to their successors, and then kills an owner. If the standbys do not
// withdraw their refused consents, no daemon may take over the owner's shards until the
// log is available again.
func TestRefusedConsentKeepsStandby(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 5)
	f.proposeStandbys("storefront")
	f.refuseAppends = true
	f.tick() // the proposals are read, the consents refused
	f.tick()
	f.logDown = true
	f.daemons[2].dead = true
	f.until(2500*time.Millisecond, "takeover", func() bool { return f.held("storefront") == 12 })
	for _, d := range f.daemons {
		for _, r := range d.state.rights {
			is.True(d.dead || r.consented == 0)
		}
	}
	f.refuseAppends = false
	f.logDown = false
	f.until(10*time.Second, "new standbys", func() bool { return f.protected(f.daemons[0], "storefront") })
}

// TestUnconfirmedConsentIsKept guards against a consent that is withdrawn
// although one of its two attempts got no answer, so the log may hold it.
func TestUnconfirmedConsentIsKept(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 5)
	f.proposeStandbys("storefront")
	f.tick()
	for _, d := range f.daemons {
		for id, out := range d.state.outbox.pending {
			if out.record.GetConsent() == nil {
				continue
			}
			out.attempts++
			d.state.Step(f.now, AppendRefused{ID: id})
			is.True(d.state.outbox.pending[id] != nil)
			d.state.Step(f.now, AppendRefused{ID: id})
			is.True(d.state.outbox.pending[id] == nil)
		}
	}
}
