package admit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const farDeadline = clock.Instant(time.Hour)

func warmQueue(slots, maxQueue int, fair bool) *Queue {
	q := New(Options{MaxQueue: maxQueue, Fair: fair})
	q.SetSlots(0, slots)
	return q
}

// referenceFair is the reference model of fairOrder: it finds the next team by
// comparing sort keys of all waiting teams and never prunes idle ones.
type referenceFair struct {
	waiting map[string][]*Ticket
	start   map[string]uint64
	finish  map[string]uint64
	now     uint64
}

func (r *referenceFair) push(t *Ticket) {
	if len(r.waiting[t.Team]) == 0 {
		r.start[t.Team] = max(r.now, r.finish[t.Team])
	}
	r.waiting[t.Team] = append(r.waiting[t.Team], t)
}

func (r *referenceFair) pop() *Ticket {
	var teams []string
	for team, tickets := range r.waiting {
		if len(tickets) > 0 {
			teams = append(teams, team)
		}
	}
	if len(teams) == 0 {
		return nil
	}
	key := func(team string) string {
		return fmt.Sprintf("%020d/%020d/%s", r.start[team], len(r.waiting[team]), team)
	}
	first := slices.MinFunc(teams, func(a, b string) int {
		if key(a) < key(b) {
			return -1
		}
		return 1
	})
	t := r.waiting[first][0]
	r.waiting[first] = r.waiting[first][1:]
	r.now = r.start[first]
	r.finish[first] = r.now + 1
	r.start[first] = r.finish[first]
	return t
}

func TestFairOrderMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fair := newOrder(true)
		reference := &referenceFair{map[string][]*Ticket{}, map[string]uint64{}, map[string]uint64{}, 0}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				ticket := &Ticket{Team: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")}
				fair.push(ticket)
				reference.push(ticket)
				continue
			}
			if got, want := fair.pop(), reference.pop(); got != want {
				t.Fatalf("pop returned %v, reference model returned %v", got, want)
			}
		}
	})
}

// TestQueueProperties applies random operations to a queue and checks the
// queue's invariants after each.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		fair := rapid.Bool().Draw(t, "fair")
		ramp := rapid.Bool().Draw(t, "ramp")
		q := New(Options{MaxQueue: 8, Fair: fair, Ramp: ramp})
		now := clock.Instant(1)
		q.SetSlots(now, slots)
		lastHeartbeat := clock.Instant(0) // last heartbeat of the server
		pending := map[*Ticket]bool{}     // submitted and not yet finished, refused or cancelled
		active := map[*Ticket]bool{}
		checkRefusals := func(refused []Refusal) {
			for _, r := range refused {
				if !pending[r.Ticket] || active[r.Ticket] || r.Kind.Answer().Ran != outcome.NotRun {
					t.Fatalf("refusal %v of a ticket that is not waiting, or of a kind that is not NotRun", r.Kind)
				}
				delete(pending, r.Ticket)
			}
		}
		pick := func(m map[*Ticket]bool) *Ticket {
			var tickets []*Ticket
			for ticket := range m {
				tickets = append(tickets, ticket)
			}
			slices.SortFunc(tickets, func(a, b *Ticket) int { return int(a.seq) - int(b.seq) })
			return rapid.SampledFrom(tickets).Draw(t, "ticket")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				ticket := &Ticket{
					Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Shard:    view.ShardID{Shard: rapid.Uint32Range(0, 2).Draw(t, "shard")},
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond),
				}
				pending[ticket] = true
				checkRefusals(q.Submit(now, ticket))
			},
			"done": func(t *rapid.T) {
				if len(active) == 0 {
					t.Skip()
				}
				ticket := pick(active)
				delete(active, ticket)
				delete(pending, ticket)
				result := Result(rapid.IntRange(0, 2).Draw(t, "result"))
				if result != Failed {
					lastHeartbeat = now
				}
				q.Done(now, ticket, result)
			},
			"announcement": func(*rapid.T) {
				lastHeartbeat = now
				q.RecordHeartbeat(now)
			},
			"cancel": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip()
				}
				ticket := pick(pending)
				if q.Cancel(ticket) {
					delete(pending, ticket)
				} else if !active[ticket] {
					t.Fatal("ticket is neither waiting nor running")
				}
			},
			"withdraw": func(t *rapid.T) {
				shard := rapid.Uint32Range(0, 2).Draw(t, "shard")
				checkRefusals(q.RefuseLost(func(id view.ShardID) bool { return id.Shard == shard }))
			},
			"cold": func(*rapid.T) { q.MarkCold(now) },
			"sleep": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				started, refused := q.Dispatch(now)
				checkRefusals(refused)
				for _, ticket := range started {
					if ticket.Deadline <= now {
						t.Fatal("ticket started after its deadline")
					}
					active[ticket] = true
				}
				if len(started) > 0 && q.Running() > q.Limit() || q.Limit() > slots {
					t.Fatalf("%d running, want at most the limit %d, which is at most the slots %d", q.Running(), q.Limit(), slots)
				}
				backoff := q.Backoff(now)
				unresponsive := lastHeartbeat != 0 && now.Sub(lastHeartbeat) > 600*time.Millisecond
				if unresponsive && len(started) > 0 {
					t.Fatalf("%d tickets started on a server without a heartbeat for %s", len(started), now.Sub(lastHeartbeat))
				}
				if q.Waiting() > 0 && q.Running() < q.Limit() && backoff == 0 && !unresponsive {
					t.Fatal("tickets wait although the server has capacity left")
				}
				if backoff > maxBackoff || backoff > 0 && (len(started) > 0 || !ramp) {
					t.Fatalf("%d tickets started with a backoff of %s left, ramp enabled: %t", len(started), backoff, ramp)
				}
				if q.Waiting()+q.Running() != len(pending) || q.Waiting() > 8 {
					t.Fatalf("%d waiting and %d running, want %d in total and at most 8 waiting", q.Waiting(), q.Running(), len(pending))
				}
			},
		})
	})
}

func TestSmallTeamWaitsForOneTicketOfBusyTeam(t *testing.T) {
	for _, tc := range []struct {
		fair bool
		want int
	}{{true, 1}, {false, 100}} {
		is := is.New(t)
		q := warmQueue(1, 1000, tc.fair)
		for range 101 {
			is.Equal(len(q.Submit(0, &Ticket{Team: "loud", Deadline: farDeadline})), 0)
		}
		started, _ := q.Dispatch(0)
		small := &Ticket{Team: "small", Deadline: farDeadline}
		q.Submit(0, small)
		before := 0
		for started[0] != small {
			q.Done(0, started[0], Failed)
			started, _ = q.Dispatch(0)
			before++
		}
		is.True(before-1 <= tc.want) // tickets of the busy team started before that of the small team
		is.True(tc.fair || before-1 == tc.want)
	}
}

func TestFullQueueRefusesBusyTeam(t *testing.T) {
	is := is.New(t)
	q := warmQueue(1, 10, true)
	for range 10 {
		q.Submit(0, &Ticket{Team: "loud", Deadline: farDeadline})
	}
	refused := q.Submit(0, &Ticket{Team: "small", Deadline: farDeadline})
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Ticket.Team, "loud")
	is.Equal(refused[0].Kind, outcome.Overloaded)
}

func TestRefusesTicketThatMissesDeadline(t *testing.T) {
	is := is.New(t)
	q := warmQueue(1, 10, true)
	for i := range 20 {
		now := clock.Instant(i) * clock.Instant(100*time.Millisecond)
		ticket := &Ticket{Deadline: farDeadline}
		q.Submit(now, ticket)
		q.Dispatch(now)
		q.Done(now.Add(100*time.Millisecond), ticket, Answered)
	}
	now := clock.Instant(2 * time.Second)
	refused := q.Submit(now, &Ticket{Deadline: now.Add(20 * time.Millisecond)})
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Kind, outcome.DeadlineNotRun)
	is.Equal(len(q.Submit(now, &Ticket{Deadline: now.Add(200 * time.Millisecond)})), 0)
	// Samples older than sampleMaxAge no longer cause refusals.
	later := now.Add(sampleMaxAge + time.Second)
	is.Equal(len(q.Submit(later, &Ticket{Deadline: later.Add(20 * time.Millisecond)})), 0)
}
