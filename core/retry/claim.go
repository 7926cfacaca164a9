package retry

import "github.com/sesamemoor/sesamemoor/core/outcome"

// Claim combines the failures of several attempts of a request. The request is known
// not to have run only if no attempt ran. mayHaveRun is the first failure of an
// attempt that ran or may have run.
type Claim struct{ mayHaveRun error }

// Failed records the failure of an attempt.
func (c *Claim) Failed(err error) {
	if c.mayHaveRun == nil && outcome.KindOf(err).Answer().Ran != outcome.NotRun {
		c.mayHaveRun = err
	}
}

// Worst returns the error to report to the caller after the last attempt ended with
// err. If err means that the request did not run although a recorded attempt ran or
// may have run, Worst returns the first failure of such an attempt, otherwise err.
func (c *Claim) Worst(err error) error {
	if c.mayHaveRun != nil && outcome.KindOf(err).Answer().Ran == outcome.NotRun {
		return c.mayHaveRun
	}
	return err
}
