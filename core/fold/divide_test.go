package fold

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// The keys of a service are divided once, before a record refers to one of its shards, and
// whatever the configuration says then.
func TestKeysAreDividedOnce(t *testing.T) {
	is := is.New(t)
	s := New()
	s.EnsureService("storefront", 8)
	is.True(!s.divideKeys(&wire.DivideKeys{Service: "storefront"}).Accepted)
	is.True(!s.divideKeys(&wire.DivideKeys{Service: "storefront", Shards: maxDivided + 1}).Accepted)
	is.True(!s.divideKeys(&wire.DivideKeys{Service: "", Shards: 8}).Accepted)
	is.True(s.divideKeys(&wire.DivideKeys{Service: "storefront", Shards: 32}).Accepted)
	is.True(!s.divideKeys(&wire.DivideKeys{Service: "storefront", Shards: 64}).Accepted)
	is.Equal(s.EnsureService("storefront", 8).Base, uint32(32))
	is.Equal(len(s.Services["storefront"].Shards), 32)

	data, err := s.Encode()
	is.NoErr(err)
	restored, err := Decode(data)
	is.NoErr(err)
	is.Equal(restored.EnsureService("storefront", 8).Base, uint32(32))
	again, err := restored.Encode()
	is.NoErr(err)
	is.Equal(again, data)

	placed := New()
	is.True(placed.recordShard("storefront", 3))
	is.True(!placed.divideKeys(&wire.DivideKeys{Service: "storefront", Shards: 32}).Accepted)
}
