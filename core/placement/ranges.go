package placement

const (
	// rangesPerMember is the number of key ranges of a member at least: busy keys lie close
	// to one another, and spread over as many members as they have ranges. Each range costs
	// its member a grant each second or so.
	rangesPerMember = 128
	// minRangeKeys is the number of keys of a range at least.
	minRangeKeys = 4
)

// RangeCount returns the number of ranges into which the keys of a service are divided: the
// configured number, doubled until each of its members has rangesPerMember.
//
// It answers loads in which a few dozen neighbouring keys get a third of all requests. With
// 2,048 ranges of 32 keys they lie in two or three ranges, whatever the number of members.
func RangeCount(configured, keySpace uint32, members int) uint32 {
	n := configured
	for n < uint32(members)*rangesPerMember && n*2*minRangeKeys <= keySpace {
		n *= 2
	}
	return n
}
