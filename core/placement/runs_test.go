package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// maxRanges is the number of key ranges that fit in a reply of 4 KiB to an announcement,
// with 27 bytes for a range.
const maxRanges = 4096 / 27

// tenure is the ownership of a shard by one member.
type tenure struct{ owner, token uint64 }

// observe updates the tenures of all shards: the token is the generation at which the
// owner acquired the shard.
func (m *fleetModel) observe(tenures []tenure) {
	for i, sh := range m.shards() {
		if sh.Owner != tenures[i].owner {
			tenures[i] = tenure{sh.Owner, sh.Generation}
		}
	}
}

// ranges returns the largest number of key ranges of a member: runs of neighbouring
// shards with the same token.
func ranges(tenures []tenure) int {
	most, byOwner := 0, map[uint64]int{}
	for i, tn := range tenures {
		if i == 0 || tenures[i-1] != tn {
			byOwner[tn.owner]++
			most = max(most, byOwner[tn.owner])
		}
	}
	return most
}

// A server that takes its keys from replies to its announcements once got a quarter of
// 2048 shards in some 400 ranges, three times what a reply holds. It lost the others.
func TestKeyRangesOfAServerFitInAReply(t *testing.T) {
	for _, members := range []int{3, 4, 7, 33} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			is := is.New(t)
			m := newModel(t, 2048, 3)
			svc := m.cfg.Services[service]
			svc.KeySpace, svc.Contiguous = 65536, true
			m.cfg.Services[service] = svc
			tenures := make([]tenure, 2048)
			var incs []uint64
			for n := range members {
				incs = append(incs, m.join(n))
			}
			settle := func() {
				for range 64 {
					if !m.step(t) {
						break
					}
					m.observe(tenures)
				}
			}
			settle()
			is.True(ranges(tenures) <= maxRanges)
			for n := 0; n < members; n += 3 { // a data centre is lost
				m.lapse(incs[n])
			}
			m.observe(tenures)
			is.True(ranges(tenures) <= maxRanges) // with the standbys as owners
			settle()
			is.True(ranges(tenures) <= maxRanges)
		})
	}
}
