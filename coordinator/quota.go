package coordinator

import (
	"sync"
	"time"

	"github.com/citronpier/citronpier/limiter"
	"github.com/citronpier/citronpier/refuser"
)

// quotaTable holds what each organisation uses of its quota on this host. The
// zero value is empty.
type quotaTable struct {
	mu    sync.Mutex
	usage map[string]*limiter.Usage
}

// begin counts a call of an organisation, or refuses it.
func (t *quotaTable) begin(organisation string, q limiter.Quota, now time.Time) (end func(), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.usage[organisation]
	if !ok {
		if t.usage == nil {
			t.usage = make(map[string]*limiter.Usage)
		}
		u = &limiter.Usage{}
		t.usage[organisation] = u
	}
	if over, refused := u.Begin(q, now).(limiter.Over); refused {
		return nil, refuser.New(refuser.Rate, "organisation %s is over its limit", organisation).WithRetry(over.Retry)
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		u.End()
	}, nil
}
