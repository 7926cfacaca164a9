package view

// firstGeneration is the generation of the first assignment of a shard.
const firstGeneration = 2

// NeverOwned reports whether a shard that was acquired under token had no
// owner before. It is false for split keys, whose requests ran under the shard
// that they were split from.
func (v *View) NeverOwned(id ShardID, token uint64) bool {
	svc, ok := v.Services[id.Service]
	return ok && id.Shard < svc.Base && token == firstGeneration
}
