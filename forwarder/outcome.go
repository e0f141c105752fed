package forwarder

import "github.com/citronpier/citronpier/refuser"

// Outcome is how a request ended.
type Outcome interface{ outcome() }

// Answered says that the caller got an upstream's whole answer.
type Answered struct{ Status int }

// Refused says that the caller is to be told why there is no answer.
type Refused struct{ Refusal *refuser.Refusal }

// Cut says that an answer had begun and can't be finished: the connection is
// to be ended so that the answer does not look whole.
type Cut struct{ Refusal *refuser.Refusal }

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Cut) outcome()      {}

// refuse returns the outcome of a request that gets no answer of an upstream.
func refuse(r *refuser.Refusal) Outcome { return Refused{Refusal: r} }
