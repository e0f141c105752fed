package coordinator

import (
	"errors"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/refuser"
)

// undelivered turns the failure to reach a host into what is known: only a
// request that provably did not reach it was not run.
func undelivered(err error) error {
	refusal := refuser.New(refuser.Home, "%w", err)
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		return refusal
	}
	return refusal.WithRun(descriptor.RunUnknown)
}
