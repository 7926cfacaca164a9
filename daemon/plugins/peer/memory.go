package peer

import (
	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// accountMemory sets the account in which a server counts requests of other daemons and their
// answers, until these are written to the session.
func accountMemory(s *server, memory *callermemory.Account) { s.memory = memory }

// chargeRequest counts a frame of size bytes and the memory of its answer until it is released.
// It fails with outcome.Overloaded if a request has no room. Other frames are small, and their
// answers bounded.
func (s *server) chargeRequest(frame *wire.Frame, size int) (*callermemory.Charge, *outcome.Err) {
	if frame.GetRequest() == nil {
		return nil, nil
	}
	charge := s.memory.NewCharge()
	if by := charge.ReserveRequest(int64(size)); by != callermemory.Admitted {
		charge.CountRefusal(by)
		return nil, outcome.New(outcome.Overloaded, "no memory for a frame of %d bytes", size)
	}
	return charge, nil
}
