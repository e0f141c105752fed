package messenger

import (
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/refuser"
)

// Unproved returns a refusal of a request that was decided without the log's
// word on its key. Not this attempt, but an earlier one with the key may have
// run, at any host, unless the caller says that there was none.
func (r *CallRequest) Unproved(refusal *refuser.Refusal) *refuser.Refusal {
	repeatable := r.GetService() != "" && r.GetKey() != "" && !r.GetFirst()
	if !repeatable || refusal.Run != descriptor.RunNo {
		return refusal
	}
	return refusal.WithRun(descriptor.RunUnknown)
}
