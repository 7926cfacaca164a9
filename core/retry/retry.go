// Package retry decides whether a request may be retried after a failed attempt,
// and bounds the load that retries add.
//
// A request that is not idempotent is retried only if it is known that the failed
// attempt did not run.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// Verdict is the action after a failed attempt.
type Verdict uint8

const (
	// Stop returns the failure to the caller.
	Stop Verdict = iota
	// AwaitPlacement retries after the shard's placement has changed, or earlier at the
	// cost of a token of the budget. The failed attempt did not run.
	AwaitPlacement
	// RetryNow retries at the cost of a token of the budget. The failed attempt may
	// have run, and the request is idempotent.
	RetryNow
)

// Decide returns the verdict on an attempt that ended with kind. A request that is
// not idempotent is retried only if kind means that the attempt did not run.
func Decide(kind outcome.Kind, idempotent bool) Verdict {
	answer := kind.Answer()
	switch {
	case answer.Ran == outcome.NotRun && answer.Reroutable:
		return AwaitPlacement
	case idempotent && repeatable(kind):
		return RetryNow
	default:
		return Stop
	}
}

// repeatable reports whether an idempotent request may be retried after an attempt
// of this kind that may have run. It may not be retried after a crash of the
// backend server, since the request may have caused it.
func repeatable(kind outcome.Kind) bool {
	return kind == outcome.ConnectionLost || kind == outcome.BackendReset || kind == outcome.AnswerCut
}

const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// Backoff returns the delay after the given number of attempts, which is at least 1.
// The delay doubles with each attempt from minBackoff up to maxBackoff; the result
// is random between half of it and all of it.
func Backoff(attempts int) time.Duration {
	delay := min(minBackoff<<min(attempts-1, 10), maxBackoff)
	return delay/2 + rand.N(delay/2+1)
}
