package messenger

import (
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/refuser"
)

// WithUnknownRun adjusts a refusal that was made before the log was checked for earlier
// requests with the same idempotency key. An earlier request with the key may have run,
// at any host, although this request did not. Therefore WithUnknownRun changes RunNo to
// RunUnknown for a service call with a key, unless First is set. By setting First, the
// caller states that it has not sent the key before.
func (r *CallRequest) WithUnknownRun(refusal *refuser.Refusal) *refuser.Refusal {
	repeatable := r.GetService() != "" && r.GetKey() != "" && !r.GetFirst()
	if !repeatable || refusal.Run != descriptor.RunNo {
		return refusal
	}
	return refusal.WithRun(descriptor.RunUnknown)
}
