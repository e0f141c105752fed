package coordinator

import (
	"sync"
	"time"

	"github.com/citronpier/citronpier/limiter"
	"github.com/citronpier/citronpier/refuser"
)

// quotaTable holds each organisation's usage of its quota on this host. The zero
// value is an empty table.
type quotaTable struct {
	mu    sync.Mutex
	usage map[string]*limiter.Usage
}

// beginCall counts a new call against an organisation's quota, or refuses the
// call if the quota is used up. The caller must call end when the call ends.
func (t *quotaTable) beginCall(organisation string, q limiter.Quota, now time.Time) (end func(), err error) {
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
	if exceeded, refused := u.Begin(q, now).(limiter.QuotaExceeded); refused {
		return nil, refuser.New(refuser.Rate, "organisation %s is over its limit", organisation).WithRetry(exceeded.Retry)
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		u.End()
	}, nil
}
