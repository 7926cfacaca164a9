package fold

import "github.com/cespare/xxhash/v2"

// KeyHash returns the hash that determines the shard of a key.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// ShardOf returns the shard number of a key hash. Unless the key is split, Base
// must not be zero.
func (svc *Service) ShardOf(hash uint64) uint32 {
	if n, ok := svc.Split[hash]; ok {
		return n
	}
	return svc.HashShard(hash)
}

// HashShard returns the shard number of a key hash, ignoring splits. Base must
// not be zero.
func (svc *Service) HashShard(hash uint64) uint32 { return uint32(hash % uint64(svc.Base)) }
