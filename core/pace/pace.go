// Package pace keeps the requests that a backend server gets within the rate that the
// server names in its responses. It is used by the only daemon that sends requests to
// the server, so the rate holds for the whole fleet.
//
// It is designed for a server in need: it names a rate below what its callers ask, and
// lifts or changes it at any time. A Limit does no I/O and is not safe for concurrent
// use.
package pace

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// minPerS is the rate kept towards a server that names a lower one, in requests per
	// second: without any request it could not lift its limit.
	minPerS = 0.25
	// burst is the time, in seconds, for which unused requests accumulate.
	burst = 0.1
	// firstResponseWait is the longest time for which requests to a server whose limit
	// is not known are sent one at a time, see AwaitResponse.
	firstResponseWait = 500 * time.Millisecond
	// unknownPoll is the interval at which waiting requests are looked at while it is not
	// known whether the server has a limit. The end of a run starts the next at once.
	unknownPoll = 100 * time.Millisecond
	// maxReturn bounds the delay after which a refused caller is told to return.
	maxReturn = 2 * time.Second
)

// Limit is the rate that one boot of a backend server names. The zero value has no limit.
type Limit struct {
	perS    float64       // requests per second; 0 if no limit is in force
	namedAt clock.Instant // when a response last named the limit
	tokens  float64       // requests that may start, as of at
	at      clock.Instant
	// awaitUntil is the end of the wait for the first response; 0 if it is over.
	awaitUntil clock.Instant
}

// AwaitResponse starts the wait for the first response of a server that may have named a
// limit to an earlier process of this daemon: until then, or for firstResponseWait,
// Unknown reports true.
func (l *Limit) AwaitResponse(now clock.Instant) { l.awaitUntil = now.Add(firstResponseWait) }

// Unknown reports whether the server may have a limit that is not known here.
func (l *Limit) Unknown(now clock.Instant) bool { return now < l.awaitUntil }

// Observe applies a response to a request that was sent at sent. perS is the limit that
// it names, in requests per second, and named reports whether it names one. A
// response without a limit lifts it only if its request was sent after the limit was
// last named: an earlier one may have crossed the response that named it. It reports
// whether the limit in force has changed.
func (l *Limit) Observe(now, sent clock.Instant, perS float64, named bool) (changed bool) {
	before := l.perS
	l.awaitUntil = 0
	switch {
	case named:
		l.set(now, perS)
	case l.perS > 0 && sent > l.namedAt:
		*l = Limit{}
	}
	return l.perS != before
}

// Learn applies a limit that another daemon passed on, unless one is in force already or
// a response of the server was seen here: the server itself knows better. It reports
// whether the limit in force has changed.
func (l *Limit) Learn(now clock.Instant, perS float64) (changed bool) {
	if l.perS != 0 || !l.Unknown(now) || perS <= 0 {
		return false
	}
	l.awaitUntil = 0
	l.set(now, perS)
	return true
}

// set puts a limit in force. A first one starts without accumulated requests, since the
// server was sent requests without a limit until now.
func (l *Limit) set(now clock.Instant, perS float64) {
	l.refill(now)
	l.perS = max(perS, minPerS)
	l.tokens = min(l.tokens, l.capacity())
	l.namedAt = now
	l.at = now
}

// SlotTime returns the time for which a run that took the given time occupies one of the
// server's slots: at least that in which a slot serves one request under the limit.
func (l *Limit) SlotTime(took time.Duration, slots int) time.Duration {
	if l.perS == 0 {
		return took
	}
	return max(took, time.Duration(float64(slots)/l.perS*float64(time.Second)))
}

// PerS returns the limit in requests per second, or 0 if none is in force.
func (l *Limit) PerS() float64 { return l.perS }

// capacity returns the maximum number of accumulated requests.
func (l *Limit) capacity() float64 { return 1 + burst*l.perS }

func (l *Limit) refill(now clock.Instant) {
	if l.perS == 0 {
		return
	}
	l.tokens = min(l.tokens+l.perS*now.Sub(l.at).Seconds(), l.capacity())
	l.at = now
}

// Next returns the earliest time at which a request may start after ahead others. It is
// now if no limit is in force.
func (l *Limit) Next(now clock.Instant, ahead int) clock.Instant {
	if l.perS == 0 {
		return now
	}
	l.refill(now)
	missing := float64(ahead+1) - l.tokens
	if missing <= 0 {
		return now
	}
	return now.Add(time.Duration(missing / l.perS * float64(time.Second)))
}

// Delay returns the time until one more request may start while others run: when the
// limit has room or, while it is not known whether there is one, when no request runs.
func (l *Limit) Delay(now clock.Instant, running int) time.Duration {
	if l.Unknown(now) && running > 0 {
		return unknownPoll
	}
	return l.Next(now, 0).Sub(now)
}

// Take records the start of a request.
func (l *Limit) Take(now clock.Instant) {
	if l.perS == 0 {
		return
	}
	l.refill(now)
	l.tokens--
}
