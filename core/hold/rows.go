package hold

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// Row is a range of keys in a reply, with the grants that it contains.
type Row struct {
	protocol.KeyGrant
	Grants []Grant
}

// Rows merges grants of neighbouring shards with the same token and the same handover
// token into rows, in the order in which their grants appear. keysOf returns the key
// range of a shard. A row of shards with different tokens would need the highest of
// them, and the next owner of a shard, who counts from its own token, might grant it
// under one that is not above that.
func Rows(grants []Grant, keysOf func(Grant) protocol.KeyRange) []Row {
	rows := make([]Row, 0, len(grants))
	for _, g := range grants {
		keys := keysOf(g)
		if n := len(rows); n > 0 {
			last := &rows[n-1]
			if last.Last+1 == keys.First && last.Token == keys.Token && last.Handover == g.Handover && last.Grants[0].Shard.Service == g.Shard.Service {
				last.Last = keys.Last
				last.Grants = append(last.Grants, g)
				continue
			}
		}
		rows = append(rows, Row{KeyGrant: protocol.KeyGrant{KeyRange: keys, Handover: g.Handover}, Grants: []Grant{g}})
	}
	return rows
}

// GrantsOf returns the grants of rows.
func GrantsOf(rows []Row) []Grant {
	var grants []Grant
	for _, r := range rows {
		grants = append(grants, r.Grants...)
	}
	return grants
}

// ReportedKeys returns what an announcement says of each shard whose key range is
// given by rangeOf.
func ReportedKeys(a protocol.Announcement, rangeOf func(view.ShardID) (first, last uint32, ok bool)) func(view.ShardID) Reported {
	held := slices.Clone(a.Held)
	slices.SortFunc(held, func(x, y protocol.KeyRange) int { return int(x.First) - int(y.First) })
	return func(id view.ShardID) Reported {
		first, last, ok := rangeOf(id)
		if !ok {
			return Reported{}
		}
		// The rows are disjoint: the last that begins at or before the end of the range is
		// the only one that can reach its end.
		i, _ := slices.BinarySearchFunc(held, last, func(k protocol.KeyRange, key uint32) int {
			if k.First <= key {
				return -1
			}
			return 1
		})
		if i > 0 && held[i-1].Last >= first {
			return Reported{Held: true, Token: held[i-1].Token}
		}
		for _, r := range a.Released {
			if r.First <= first && last <= r.Last {
				return Reported{Handover: r.Handover}
			}
		}
		return Reported{}
	}
}
