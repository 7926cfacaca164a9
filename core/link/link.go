// Package link accounts for the bandwidth of an instance's network link: how much of it the
// responses that were promised or wait will take, when one more could be transferred, and which
// large transfer may write its next piece.
//
// It is designed for a link that is narrow for its load: 10 Mbit/s for responses of 90 kB on
// average and 540 kB at most, with a demand of up to 1.5 times the link beside thousands of small
// messages a second that must not wait. Small messages are written at once and only counted; large
// responses are bulk, which is paced below the link's rate, so that little of it waits in the
// buffers of the kernel and of the link ahead of small messages.
//
// Only what this instance sends is counted: what it receives is paced by its senders. On a link
// whose directions share their bandwidth, the measured rate accounts for the rest.
//
// A Link does no I/O and is not safe for concurrent use.
package link

import (
	"cmp"
	"math"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// fastMbps is the rate from which a link counts as not limited: one response of 540 kB
	// occupies it for less than 9 ms, which is within the jitter of the processor.
	fastMbps = 500
	// MaxPiece is the largest piece of bulk that is written without a look at more urgent data.
	MaxPiece = 16 << 10
	// minPiece bounds the pieces from below: smaller ones cost more processor time than they
	// save.
	minPiece = 2 << 10
	// pieceTime is the time that one piece takes on the link, which a small message may wait.
	pieceTime = 6 * time.Millisecond
	// paceShare is the share of the link's rate that counted messages may take together. The
	// rest is for the headers of packets (4%), acknowledgements, store calls and datagrams.
	paceShare = 0.85
	// minBulkShare is the share of that rate that bulk gets even if small messages take all of
	// it, so that transfers that have begun end.
	minBulkShare = 0.1
	// paceCredit is the time for which an unused rate is kept: the lateness of a timer.
	paceCredit = 2 * time.Millisecond
	// smallWindow is the time constant over which the rate of small messages is averaged.
	smallWindow = time.Second
	// offeredWindow is the time constant over which the bulk promised to each rank is averaged.
	offeredWindow = time.Second
	// minSpareShare is the share of the bulk rate that is assumed to be left over by more
	// urgent ranks. Predicted waits are divided by the spare share.
	minSpareShare = 0.1
	// oldestEvery is the number of pieces of which one goes to the transfer that has waited
	// longest, whatever its rank, so that no rank starves.
	oldestEvery = 10
	// maxPieceGap is the longest time between two pieces of one transfer while it is not
	// blocked. Peers take a session without a byte for 600 ms for unresponsive.
	maxPieceGap = 200 * time.Millisecond
	// blockedAfter is the time after a grant from which a transfer that has not asked for its
	// next piece counts as blocked by its receiver. It then delays no others.
	blockedAfter = 100 * time.Millisecond
	// usualMargin and safeMargin are the numbers of standard deviations by which the bytes up to
	// the end of a response may exceed their mean for its objective, and for its deadline.
	usualMargin = 0.5
	safeMargin  = 1.5
	// objectiveShare is the share of the time left until its latency objective in which a response
	// that waits for others is to have left this instance. The rest is for the link of the entry and
	// of the caller, which are often as narrow as this one.
	objectiveShare = 0.75
	// lateShare is a share of the time left until a request's deadline, as in package runqueue.
	lateShare = 0.5
)

// firstNested is the lowest rank of a nested call.
const firstNested = -(1 << 32)

// Rank returns the rank of a request: lower ranks go first. Nested calls come before all others,
// since the requests that wait for them hold slots, and have the priorities of these requests.
func Rank(nested bool, priority uint32) int64 {
	if nested {
		return firstNested + int64(priority)
	}
	return int64(priority)
}

// firstLate is the rank of the most urgent response that has missed its latency objective.
const firstLate = 1 << 32

// ResponseRank is Rank for the response to a request. If the request has missed its latency objective
// when it arrives, since its caller was refused before, others go first: on a link with more demand
// than it can carry, each response that is late already would make another one late.
func ResponseRank(nested bool, priority uint32, late bool) int64 {
	if late && !nested {
		return firstLate + int64(priority)
	}
	return Rank(nested, priority)
}

// Link is the sending direction of an instance's link.
type Link struct {
	setting float64       // rate by the settings, in bytes per second; 0 if not limited
	rate    float64       // the same, corrected by measurement
	free    clock.Instant // from when the next piece may be written at the paced rate
	small   decaying      // bytes of small messages
	offered map[int64]*decaying

	transfers  map[*Transfer]struct{}
	lastNumber uint64
	grants     int

	written int64 // bytes granted or counted
	meter   meter
}

// New returns a link of mbps megabits per second. A link of 0 or at least fastMbps is not
// limited.
func New(mbps float64) *Link {
	l := &Link{offered: map[int64]*decaying{}, transfers: map[*Transfer]struct{}{}}
	if mbps > 0 && mbps < fastMbps {
		l.setting = mbps * 1e6 / 8
		l.rate = l.setting
	}
	return l
}

// Limited reports whether the link has a limit. All other methods have no effect and predict no
// delay if it has none.
func (l *Link) Limited() bool { return l.setting > 0 }

// Mbps returns the expected rate in megabits per second.
func (l *Link) Mbps() float64 { return l.rate * 8 / 1e6 }

// decaying is a sum that decays over a time constant.
type decaying struct {
	value float64
	at    clock.Instant
}

func (d *decaying) now(now clock.Instant, window time.Duration) float64 {
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(window))
}

func (d *decaying) add(now clock.Instant, window time.Duration, value float64) {
	d.value = d.now(now, window) + value
	d.at = now
}

// Transfer is a large response that the link is to carry: first promised to a request that was
// accepted, with its expected size, or offered by a writer with its size.
type Transfer struct {
	Rank int64 // lower ranks go first

	number  uint64
	left    int           // bytes, expected or known
	spread  float64       // standard deviation of left
	since   clock.Instant // when it was promised or offered
	waiting bool          // for a piece
	begun   bool
	granted clock.Instant // when it got its last piece; 0 before the first
	writing bool          // has a piece that is not written yet
}

// Left returns the bytes that are not granted yet.
func (t *Transfer) Left() int { return t.left }

// Promise reserves the link for a response of the expected size and its standard deviation in
// bytes. Drop ends it.
func (l *Link) Promise(now clock.Instant, rank int64, size, spread float64) *Transfer {
	t := l.add(now, rank, int(size))
	t.spread = spread
	l.rank(rank).add(now, offeredWindow, size)
	return t
}

// Offer adds a transfer of a writer. The writer calls Await before each piece and Drop at the
// end.
func (l *Link) Offer(now clock.Instant, rank int64, size int) *Transfer {
	return l.add(now, rank, size)
}

func (l *Link) add(now clock.Instant, rank int64, size int) *Transfer {
	l.lastNumber++
	t := &Transfer{Rank: rank, number: l.lastNumber, left: size, since: now}
	if l.Limited() {
		l.transfers[t] = struct{}{}
	}
	return t
}

func (l *Link) rank(rank int64) *decaying {
	d, ok := l.offered[rank]
	if !ok {
		d = &decaying{}
		l.offered[rank] = d
	}
	return d
}

// Drop ends a transfer or promise. It may be called more than once.
func (l *Link) Drop(t *Transfer) { delete(l.transfers, t) }

// Await states that the transfer waits for its next piece, see Grant.
func (l *Link) Await(t *Transfer) { t.waiting, t.writing = true, false }

// Withhold states that the transfer does not wait for a piece any more.
func (l *Link) Withhold(t *Transfer) { t.waiting = false }

// Grant returns the transfer that may write its next piece, and the bytes of the piece. If none
// may now, it returns nil and the time until Grant is to be called again, or 0 if no transfer
// waits.
func (l *Link) Grant(now clock.Instant) (t *Transfer, piece int, wait time.Duration) {
	best := l.next(now)
	if best == nil {
		return nil, 0, 0
	}
	if l.Limited() && l.free > now {
		return nil, 0, l.free.Sub(now)
	}
	piece = min(best.left, l.pieceSize())
	best.left -= piece
	best.spread = 0
	best.waiting, best.begun, best.writing, best.granted = false, true, true, now
	l.grants++
	l.charge(now, piece)
	return best, piece, 0
}

// pieceSize returns the bytes of one piece.
func (l *Link) pieceSize() int {
	return min(max(int(l.rate*pieceTime.Seconds()), minPiece), MaxPiece)
}

// charge moves the time of the next piece on by that of n bytes.
func (l *Link) charge(now clock.Instant, n int) {
	if !l.Limited() {
		return
	}
	l.written += int64(n)
	l.free = max(l.free, now.Add(-paceCredit)).Add(seconds(float64(n) / (paceShare * l.rate)))
}

// CountSmall counts a message that is written without waiting. It delays bulk, but leaves it
// minBulkShare of the paced rate.
func (l *Link) CountSmall(now clock.Instant, n int) {
	if !l.Limited() {
		return
	}
	l.small.add(now, smallWindow, float64(n))
	l.charge(now, n)
	longest := seconds(float64(l.pieceSize()) / (minBulkShare * paceShare * l.rate))
	l.free = min(l.free, now.Add(longest))
}

// next returns the waiting transfer that gets the next piece, or nil.
func (l *Link) next(now clock.Instant) *Transfer {
	order := l.order(now)
	if l.grants%oldestEvery == oldestEvery-1 {
		order = func(a, b *Transfer) int { return cmp.Compare(a.number, b.number) }
	}
	var best *Transfer
	for t := range l.transfers {
		if t.waiting && (best == nil || order(t, best) < 0) {
			best = t
		}
	}
	return best
}

// order returns a comparison of transfers by the order of their pieces: those that have begun
// and waited for maxPieceGap, then by rank, those that have begun, and arrival.
func (l *Link) order(now clock.Instant) func(a, b *Transfer) int {
	overdue := func(t *Transfer) int {
		if t.begun && now.Sub(t.granted) >= maxPieceGap {
			return 0
		}
		return 1
	}
	begun := func(t *Transfer) int {
		if t.begun {
			return 0
		}
		return 1
	}
	return func(a, b *Transfer) int {
		return cmp.Or(
			cmp.Compare(overdue(a), overdue(b)),
			cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(begun(a), begun(b)),
			cmp.Compare(a.number, b.number),
		)
	}
}

// BulkRate returns the bytes per second that small messages leave to bulk.
func (l *Link) BulkRate(now clock.Instant) float64 {
	paced := paceShare * l.rate
	return max(paced-l.small.now(now, smallWindow)/smallWindow.Seconds(), minBulkShare*paced)
}

// Backlog returns the time that the promised and offered transfers take. Those blocked by their
// receivers are left out.
func (l *Link) Backlog(now clock.Instant) time.Duration {
	if !l.Limited() {
		return 0
	}
	bytes, _ := l.ahead(now, math.MaxInt64, math.MaxUint64)
	return seconds(bytes / l.BulkRate(now))
}

// ahead returns the bytes that go before a transfer of a rank and number, and their variance.
func (l *Link) ahead(now clock.Instant, rank int64, number uint64) (bytes, variance float64) {
	for t := range l.transfers {
		if t.Rank > rank || t.Rank == rank && t.number >= number {
			continue
		}
		if t.writing && now.Sub(t.granted) > blockedAfter {
			continue
		}
		bytes += float64(t.left)
		variance += t.spread * t.spread
	}
	return bytes, variance
}

// Prediction is the expected end of the transfer of a response.
type Prediction struct {
	Idle     clock.Instant // if the response had to wait for no other
	Expected clock.Instant // if responses are a little larger than on average
	Safe     clock.Instant // if they are much larger
}

// Predict predicts the transfer of a response. size is its expected size, spread the standard
// deviation, and ready the time at which it is expected to be there. own is its promise if it has
// one, or nil: then it goes behind all others of its rank.
func (l *Link) Predict(now, ready clock.Instant, rank int64, size, spread float64, own *Transfer) Prediction {
	if !l.Limited() || size <= 0 {
		return Prediction{Idle: ready, Expected: ready, Safe: ready}
	}
	number := uint64(math.MaxUint64)
	if own != nil {
		number = own.number
	}
	ahead, variance := l.ahead(now, rank, number)
	deviation := math.Sqrt(variance + spread*spread)
	rate := l.BulkRate(now)
	spare := rate * l.spareShare(now, rank)
	p := Prediction{Idle: ready.Add(seconds(size / rate))}
	finish := func(margin float64) clock.Instant {
		if ahead == 0 {
			return p.Idle
		}
		return max(p.Idle, now.Add(seconds((ahead+margin*deviation)/spare+size/rate)))
	}
	p.Expected, p.Safe = finish(usualMargin), finish(safeMargin)
	return p
}

// Lateness returns the time by which the transfer of a response is expected to end too late, or 0
// if the request may be accepted. A response that has to wait for no other is late after its
// deadline. Otherwise it is late after objectiveShare of the time to its latency objective: a longer
// backlog would carry no more responses, and all of them late. One that cannot meet its objective
// anyway may take lateShare of the time left.
func (p Prediction) Lateness(now, target, deadline clock.Instant) time.Duration {
	latest := now.Add(time.Duration(objectiveShare * float64(target.Sub(now))))
	switch {
	case p.Expected <= p.Idle:
		return max(p.Idle.Sub(deadline), 0)
	case p.Idle > target:
		latest = max(p.Idle, now.Add(time.Duration(lateShare*float64(deadline.Sub(now)))))
	}
	return max(p.Expected.Sub(latest), p.Safe.Sub(deadline), 0)
}

// spareShare returns the share of the bulk rate that the bulk promised to more urgent ranks
// leaves to a rank.
func (l *Link) spareShare(now clock.Instant, rank int64) float64 {
	busy := 0.0
	for other, d := range l.offered {
		if other < rank {
			busy += d.now(now, offeredWindow) / offeredWindow.Seconds()
		}
	}
	return max(1-busy/l.BulkRate(now), minSpareShare)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
