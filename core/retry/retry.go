// Package retry decides whether the entry daemon may try a request again, and
// bounds the load that such tries add.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// Verdict says what follows a failed try.
type Verdict uint8

const (
	// Stop returns the failure to the caller.
	Stop Verdict = iota
	// Await tries again when the shard's placement changed, or earlier with a
	// token of the budget. The failed try did not run.
	Await
	// Again tries again with a token of the budget. The failed try may have
	// run, and the request is idempotent.
	Again
)

// Decide returns the verdict on a try that ended with kind. A request that is
// not idempotent is tried again only if kind says that it did not run.
func Decide(kind outcome.Kind, idempotent bool) Verdict {
	answer := kind.Answer()
	switch {
	case answer.Ran == outcome.NotRun && answer.Reroutable:
		return Await
	case idempotent && repeatable(kind):
		return Again
	default:
		return Stop
	}
}

// repeatable reports whether a try of an idempotent request that may have run
// is worth another. A crash is not: the request may have caused it.
func repeatable(kind outcome.Kind) bool {
	return kind == outcome.ConnectionLost || kind == outcome.AnswerCut
}

const (
	backoffFirst = 10 * time.Millisecond
	backoffMost  = 250 * time.Millisecond
)

// Backoff returns the pause after the given number of tries, from 1: doubled
// with each, of which a random part between half and all is taken.
func Backoff(tries int) time.Duration {
	pause := min(backoffFirst<<min(tries-1, 10), backoffMost)
	return pause/2 + rand.N(pause/2+1)
}
