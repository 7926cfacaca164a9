package admit

import "slices"

// order stores the waiting tickets and selects the next one to run.
type order interface {
	push(t *Ticket)
	pop() *Ticket // nil when empty
	remove(t *Ticket)
	dropLongest() *Ticket  // the ticket to refuse when the queue is full
	ahead(team string) int // tickets that run before the next one of the team
	filter(keep func(*Ticket) bool) (dropped []*Ticket)
	len() int
}

func newOrder(fair bool) order {
	if fair {
		return &fairOrder{teams: map[string]*teamQueue{}}
	}
	return &fifoOrder{}
}

// teamQueue is the FIFO queue of one team in a fairOrder.
type teamQueue struct {
	name    string
	tickets []*Ticket
	finish  uint64 // virtual finish time of the team's most recently started ticket
	start   uint64 // virtual start time of the first waiting ticket
}

// fairOrder implements start-time fair queueing over teams with unit cost: the
// waiting team whose next ticket has the least virtual start time is served
// first. While two teams both have waiting tickets, the numbers of tickets
// started for them differ by at most one. A previously idle team starts at the
// current virtual time, so it waits for at most one ticket of each other team.
type fairOrder struct {
	teams       map[string]*teamQueue // teams that have waiting tickets or finish > virtualTime
	virtualTime uint64                // virtual start time of the most recently started ticket
	count       int
}

func (o *fairOrder) push(t *Ticket) {
	q, ok := o.teams[t.Team]
	if !ok {
		q = &teamQueue{name: t.Team}
		o.teams[t.Team] = q
	}
	if len(q.tickets) == 0 {
		q.start = max(o.virtualTime, q.finish)
	}
	q.tickets = append(q.tickets, t)
	o.count++
}

func (o *fairOrder) pop() *Ticket {
	q := o.first()
	if q == nil {
		return nil
	}
	t := q.tickets[0]
	q.tickets = q.tickets[1:]
	o.count--
	o.virtualTime = q.start
	q.finish = q.start + 1
	q.start = q.finish
	o.pruneIdle()
	return t
}

// first returns the team to serve next: the one with the least start, then the
// shortest queue, then the least name. It returns nil if no ticket waits.
func (o *fairOrder) first() *teamQueue {
	var best *teamQueue
	for _, q := range o.teams {
		if len(q.tickets) > 0 && (best == nil || before(q, best)) {
			best = q
		}
	}
	return best
}

func before(a, b *teamQueue) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	if len(a.tickets) != len(b.tickets) {
		return len(a.tickets) < len(b.tickets)
	}
	return a.name < b.name
}

// pruneIdle removes teams without waiting tickets whose finish is not ahead of
// the virtual time: their next ticket would start at the virtual time anyway.
func (o *fairOrder) pruneIdle() {
	for name, q := range o.teams {
		if len(q.tickets) == 0 && q.finish <= o.virtualTime {
			delete(o.teams, name)
		}
	}
}

func (o *fairOrder) ahead(team string) int {
	own := 0
	if q, ok := o.teams[team]; ok {
		own = len(q.tickets)
	}
	ahead := own
	for name, q := range o.teams {
		if name != team {
			ahead += min(len(q.tickets), own+1)
		}
	}
	return ahead
}

func (o *fairOrder) remove(t *Ticket) {
	q := o.teams[t.Team]
	i := slices.Index(q.tickets, t)
	q.tickets = slices.Delete(q.tickets, i, i+1)
	o.count--
}

func (o *fairOrder) dropLongest() *Ticket {
	var longest *teamQueue
	for _, q := range o.teams {
		if longest == nil || len(q.tickets) > len(longest.tickets) ||
			len(q.tickets) == len(longest.tickets) && q.name < longest.name {
			longest = q
		}
	}
	t := longest.tickets[len(longest.tickets)-1]
	o.remove(t)
	return t
}

func (o *fairOrder) filter(keep func(*Ticket) bool) []*Ticket {
	var dropped []*Ticket
	for _, q := range o.teams {
		var out []*Ticket
		q.tickets, out = split(q.tickets, keep)
		dropped = append(dropped, out...)
	}
	o.count -= len(dropped)
	return dropped
}

func (o *fairOrder) len() int { return o.count }

// fifoOrder serves tickets in order of arrival regardless of team and drops the
// newest when full. It is the baseline for comparison with fairOrder.
type fifoOrder struct{ tickets []*Ticket }

func (o *fifoOrder) push(t *Ticket) { o.tickets = append(o.tickets, t) }

func (o *fifoOrder) pop() *Ticket {
	if len(o.tickets) == 0 {
		return nil
	}
	t := o.tickets[0]
	o.tickets = o.tickets[1:]
	return t
}

func (o *fifoOrder) ahead(string) int { return o.len() }

func (o *fifoOrder) remove(t *Ticket) {
	i := slices.Index(o.tickets, t)
	o.tickets = slices.Delete(o.tickets, i, i+1)
}

func (o *fifoOrder) dropLongest() *Ticket {
	t := o.tickets[len(o.tickets)-1]
	o.tickets = o.tickets[:len(o.tickets)-1]
	return t
}

func (o *fifoOrder) filter(keep func(*Ticket) bool) []*Ticket {
	var dropped []*Ticket
	o.tickets, dropped = split(o.tickets, keep)
	return dropped
}

func (o *fifoOrder) len() int { return len(o.tickets) }

// split partitions tickets by keep and preserves their order.
func split(tickets []*Ticket, keep func(*Ticket) bool) (kept, dropped []*Ticket) {
	for _, t := range tickets {
		if keep(t) {
			kept = append(kept, t)
		} else {
			dropped = append(dropped, t)
		}
	}
	return kept, dropped
}
