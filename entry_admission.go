package citronpier

import (
	"sync/atomic"
	"time"

	"github.com/citronpier/citronpier/admitter"
)

// admission is the admission of programs of a host. It starts inactive.
type admission struct {
	admitter admitter.Admitter
	active   atomic.Bool
}

// updateAdmission sets whether programs are admitted by load: where callers compete for
// capacity, and in fleets in which a host does not hear all others.
func (e *Entry) updateAdmission(now time.Time) {
	hosts := len(e.callers(now).Live(now))
	active := e.competes(hosts)
	if e.admission.active.Swap(active) != active {
		e.config.Logger.Info().Bool("active", active).Int("hosts", hosts).Msg("admission of programs by load")
	}
}
