package callermemory

import (
	"testing"

	"github.com/matryer/is"
)

const mb = 1 << 20

// What is held must not exceed a bound by what is reserved, and must be given back completely.
func TestReservationsKeepWithinTheBounds(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Connection: 4 * mb, Entry: 8 * mb, Total: 12 * mb})
	first := a.Connection()
	var charges []*Charge
	reserve := func(h *Charge, n int64) Refusal {
		charges = append(charges, h)
		return h.Reserve(n)
	}
	for range 4 {
		is.Equal(reserve(first.NewCharge(), mb), Admitted)
	}
	is.True(first.Full())
	is.Equal(reserve(first.NewCharge(), mb), ByConnection)
	is.Equal(reserve(a.Connection().NewCharge(), 2*mb), Admitted)
	is.Equal(reserve(a.Connection().NewCharge(), 2*mb), ByEntry) // the last quarter is for small ones
	is.Equal(reserve(a.Connection().NewCharge(), SmallBytes), Admitted)
	is.Equal(reserve(a.NewCharge(), 2*mb), Admitted)
	is.Equal(reserve(a.NewCharge(), mb), ByTotal)
	is.Equal(a.Entry(), int64(6*mb+SmallBytes))
	is.Equal(a.Total(), int64(8*mb+SmallBytes))
	is.True(!a.Exceeded())
	for _, h := range charges {
		h.Release()
		h.Release()
		h.Set(mb) // the work on a request may end after its connection
	}
	is.Equal(a.Entry(), int64(0))
	is.Equal(a.Total(), int64(0))
	is.Equal(first.Held(), int64(0))
}

// A single large answer must be served although it exceeds the part of the bound for large ones.
func TestAnswerAloneIsAdmitted(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Connection: mb, Entry: mb, Total: mb})
	h := a.Connection().NewCharge()
	is.Equal(h.Reserve(16*mb), Admitted)
	is.Equal(a.Connection().NewCharge().Reserve(2*SmallBytes), ByTotal)
	h.Release()
}

// An answer that is larger than expected must be seen as exceeding the bound, and no longer once
// it is delivered. Without an account everything is admitted.
func TestArrivedAnswersAreCountedWithoutRoom(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Connection: mb, Entry: mb, Total: 2 * mb})
	h := a.Connection().NewCharge()
	is.Equal(h.Reserve(SmallBytes), Admitted)
	h.Set(3 * mb)
	is.True(a.Exceeded())
	h.Set(0)
	is.True(!a.Exceeded())
	var none *Account
	is.Equal(none.Connection().NewCharge().Reserve(mb), Admitted)
}

func TestExpectedSizesFollowTheAnswers(t *testing.T) {
	is := is.New(t)
	h := New(Limits{}).NewCharge()
	is.Equal(h.ExpectedAnswer("list"), int64(leastBytes))
	for range 100 {
		h.RecordAnswer("list", 100)
	}
	for range 32 {
		h.RecordAnswer("list", 540_000)
	}
	is.True(h.ExpectedAnswer("list") > 500_000)
}
