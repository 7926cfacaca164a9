package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/view"
)

// A daemon that has taken over a shard before the log shows it must not forward
// requests for the shard to the lost owner.
func TestTargetAfterOwnTakeover(t *testing.T) {
	is := is.New(t)
	id := view.ShardID{Service: "orders", Shard: 1}
	lost, self := &view.Member{Incarnation: 7}, &view.Member{Incarnation: 8}
	shard := view.Shard{Owner: lost, Standby: self, Generation: 2}
	var a attempts
	is.Equal(a.target(&view.View{Incarnation: 8}, id, shard), lost)
	is.Equal(a.target(&view.View{Incarnation: 8, Held: map[view.ShardID]view.Held{id: {Token: 3}}}, id, shard), self)
	is.Equal(a.target(&view.View{Incarnation: 9}, id, shard), lost)
}
