package coordinator

import (
	"errors"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/refuser"
)

// homeRefusal returns the refusal for a failed request to an upstream's home. Only
// an UnsentError proves that the call did not run; after any other error the call
// may have run.
func homeRefusal(err error) error {
	refusal := refuser.New(refuser.Home, "%w", err)
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		return refusal
	}
	return refusal.WithRun(descriptor.RunUnknown)
}
