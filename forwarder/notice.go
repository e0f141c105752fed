package forwarder

import (
	"errors"
	"net/http"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/limiter"
)

// recordNotice keeps what an upstream says of itself in a response. It reports whether this
// is new.
func (t *UpstreamTracker) recordNotice(u descriptor.Upstream, n exchanger.Notice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.upstreams[u.ID]
	if !ok || state.incarnation != u.Incarnation {
		return false
	}
	changed := state.limit != n.Limit
	if changed && state.limit == 0 {
		state.allowance = limiter.NewAllowance(now)
	}
	state.limit = n.Limit
	if n.Leaving && state.leavingSince.IsZero() {
		state.leavingSince = now
		changed = true
	}
	return changed
}

// learnNotice keeps what an upstream said of itself in a response, or in the refusal err.
func (e *exchange) learnNotice(u descriptor.Upstream, response *exchanger.Response, err error) {
	var notice exchanger.Notice
	var notRun *exchanger.NotRunError
	switch {
	case response != nil:
		notice = response.Notice
	case errors.As(err, &notRun) && notRun.Status != http.StatusMisdirectedRequest:
		notice = notRun.Notice
	default:
		return
	}
	if e.config.Tracker.recordNotice(u, notice, time.Now()) {
		e.config.Logger.Info().Str("id", e.request.ID).Str("upstream", u.ID).Str("service", u.Service).
			Float64("limit", notice.Limit).Bool("leaving", notice.Leaving).Msg("upstream names another limit, or leaves")
	}
}
