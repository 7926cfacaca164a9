package entry

import (
	"sync"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// gate bounds the requests in flight at this daemon. One team gets at most
// half of the room, so that the others still get in beside a loud one.
type gate struct {
	mu    sync.Mutex
	most  int
	all   int
	teams map[string]int
}

func newGate(most int) *gate { return &gate{most: most, teams: map[string]int{}} }

// enter lets a request of the team in. Every success needs one leave.
func (g *gate) enter(team string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.all >= g.most {
		return outcome.New(outcome.Overloaded, "%d requests at this daemon", g.all)
	}
	if g.teams[team] >= max(1, g.most/2) {
		return outcome.New(outcome.Overloaded, "%d requests of team %s at this daemon", g.teams[team], team)
	}
	g.all++
	g.teams[team]++
	return nil
}

func (g *gate) leave(team string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all--
	g.teams[team]--
	if g.teams[team] == 0 {
		delete(g.teams, team)
	}
}
