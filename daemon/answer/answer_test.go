package answer

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestRefusalRoundTrip checks that kind, detail and retry delay of an error
// survive the conversion to a response and back.
func TestRefusalRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := outcome.New(outcome.RateLimited, "over the rate")
	sent.RetryAfter = 1500 * time.Millisecond
	got := Check(Refusal(sent))
	is.Equal(got.Error(), sent.Error())
	is.Equal(outcome.RetryAfterOf(got), sent.RetryAfter)
}

func TestOtherErrorBecomesConnectionLost(t *testing.T) {
	is := is.New(t)
	is.Equal(outcome.KindOf(Check(Refusal(errors.New("broken")))), outcome.ConnectionLost)
}

func TestOnlyCompleteResponsesPass(t *testing.T) {
	is := is.New(t)
	whole := &wire.Response{Kind: uint32(outcome.OK), Status: 200, Body: []byte("four"), BodyLength: 4}
	is.NoErr(Check(whole))
	whole.BodyLength = 5
	is.Equal(outcome.KindOf(Check(whole)), outcome.AnswerCut)
	whole.BodyLength = 4
	whole.Status = 99
	is.Equal(outcome.KindOf(Check(whole)), outcome.BackendError)
}
