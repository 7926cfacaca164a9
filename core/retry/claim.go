package retry

import "github.com/sesamemoor/sesamemoor/core/outcome"

// Claim is what may be said of a request after several tries: that it did not run
// holds only if it holds for all of them.
type Claim struct{ mayRun error }

// Failed takes in the failure of a try.
func (c *Claim) Failed(err error) {
	if c.mayRun == nil && outcome.Of(err).Answer().Ran != outcome.NotRun {
		c.mayRun = err
	}
}

// Worst returns err unless it claims that the request did not run although an
// earlier try may have run it: then the first such failure.
func (c *Claim) Worst(err error) error {
	if c.mayRun != nil && outcome.Of(err).Answer().Ran == outcome.NotRun {
		return c.mayRun
	}
	return err
}
