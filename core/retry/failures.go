package retry

import "github.com/sesamemoor/sesamemoor/core/outcome"

// Failures combines the failures of several attempts of a request. The request is known
// not to have run only if no attempt ran. mayHaveRun is the first failure of an
// attempt that ran or may have run.
type Failures struct{ mayHaveRun error }

// Add records the failure of an attempt.
func (f *Failures) Add(err error) {
	if f.mayHaveRun == nil && outcome.KindOf(err).Answer().Ran != outcome.NotRun {
		f.mayHaveRun = err
	}
}

// Result returns the error to report to the caller after the last attempt ended with
// err. If err means that the request did not run although a recorded attempt ran or
// may have run, Result returns the first failure of such an attempt, otherwise err.
func (f *Failures) Result(err error) error {
	if f.mayHaveRun != nil && outcome.KindOf(err).Answer().Ran == outcome.NotRun {
		return f.mayHaveRun
	}
	return err
}
