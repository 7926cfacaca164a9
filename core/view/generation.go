package view

// firstGeneration is the generation of the first assignment of a shard.
const firstGeneration = 2

// NeverOwned reports whether a shard that was acquired under token had no owner
// before. It returns false for the shards of split keys, whose earlier requests
// ran under their parent shard.
func (v *View) NeverOwned(id ShardID, token uint64) bool {
	svc, ok := v.Services[id.Service]
	return ok && id.Shard < svc.Base && token == firstGeneration
}
