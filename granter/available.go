package granter

import "time"

// nextBucket returns the bucket from now on.
func (h *Home) nextBucket(t Terms, s Standing, now time.Duration) bucket {
	established := h.established(s, now)
	switch {
	case !established:
		b := t.reduced(s.share(h.followers(s, now)))
		if h.leads {
			h.level = min(h.level, b.capacity)
		}
		h.leads = false
		return b
	case !h.leads:
		h.leads, h.alone = true, now
	}
	if h.steady(now) {
		return t.sustained()
	}
	return t.full()
}

// steady reports whether this home alone has granted credits for a whole window, so that it
// knows all that were granted in it.
func (h *Home) steady(now time.Duration) bool {
	return h.leads && now-h.alone >= h.terms.Window
}

// available returns the credits that may be granted now. A steady home also keeps what an
// organisation sends in a window within its allowance for the window.
func (h *Home) available() float64 {
	if !h.steady(h.at) {
		return h.level
	}
	return min(h.level, h.terms.allowance()-float64(h.recent.sum))
}

// take takes credits out of the bucket.
func (h *Home) take(credits int) {
	h.level -= float64(credits)
	h.recent.add(credits)
}

// until returns how long it takes until a number of credits is available.
func (h *Home) until(target float64) time.Duration {
	wait := h.bucket.until(h.level, target)
	if !h.steady(h.at) {
		return wait
	}
	missing := target - (h.terms.allowance() - float64(h.recent.sum))
	return max(wait, h.recent.until(missing, h.terms.Window))
}

// overdraft returns how far requests of running programs may overdraw the bucket now. A home
// allows it once a window has passed in which no other home can have allowed it.
func (h *Home) overdraft() float64 {
	if !h.steady(h.at) {
		return 0
	}
	return h.terms.overdraft()
}
