package forwarder

import "github.com/citronpier/citronpier/refuser"

// Outcome is how a request ended: Answered, Refused or Cut.
type Outcome interface{ outcome() }

// Answered means that the caller got an upstream's complete response, which may have
// an error status.
type Answered struct{ Status int }

// Refused means that there is no response and that nothing was sent to the caller
// yet. The code that called Serve has to send the refusal, which gives the reason.
type Refused struct{ Refusal *refuser.Refusal }

// Cut means that a part of a response was sent to the caller and the rest can't be
// sent. The connection has to be closed so that the response does not look complete.
type Cut struct{ Refusal *refuser.Refusal }

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Cut) outcome()      {}

// refused returns a refusal as an Outcome.
func refused(r *refuser.Refusal) Outcome { return Refused{Refusal: r} }
