package answer

import (
	"context"
	"time"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// noRoomRetryAfter is the Retry-After of a request whose answer has no room. Answers that are
// read leave it within about this time.
const noRoomRetryAfter = time.Second

// ExpectedBytes returns the memory that the answer to a request is expected to take.
func ExpectedBytes(charge *callermemory.Charge, req *wire.Request) int64 {
	return callermemory.AnswerBytes(charge.ExpectedAnswer(sizeKey(req)))
}

// Reserve reserves memory for the answer to a request at the daemon that runs it. The error is
// an *outcome.Err of a kind that did not run.
func Reserve(ctx context.Context, req *wire.Request) error {
	charge := callermemory.ChargeOf(ctx)
	if by := charge.ReserveFirst(ExpectedBytes(charge, req)); by != callermemory.Admitted {
		return NoRoom(charge, by)
	}
	return nil
}

// Charge counts the answer to a request as held, and its size for those that follow.
func Charge(charge *callermemory.Charge, req *wire.Request, resp *wire.Response) {
	n := len(resp.GetBody())
	charge.Set(callermemory.AnswerBytes(int64(n)))
	if outcome.Kind(resp.GetKind()) == outcome.OK {
		charge.RecordAnswer(sizeKey(req), n)
	}
}

// NoRoom returns the refusal of a request whose answer has no room. It did not run.
func NoRoom(charge *callermemory.Charge, by callermemory.Refusal) *outcome.Err {
	charge.CountRefusal(by)
	err := outcome.New(outcome.Overloaded, "no memory for the answer within the bound of: %v", by)
	err.RetryAfter = noRoomRetryAfter
	return err
}

// sizeKey names the requests whose answers are expected to have the same size.
func sizeKey(req *wire.Request) string { return req.GetService() + " " + req.GetRoute() }
