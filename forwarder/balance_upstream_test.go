package forwarder

import (
	"cmp"
	"math"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citronpier/citronpier/descriptor"
)

// simUpstream is an upstream that runs requests in slots.
type simUpstream struct {
	descriptor.Upstream
	speed  float64
	busy   int
	queue  []func()
	worked time.Duration
	cache  *lru.Cache[string, bool]
}

// leastLoaded returns the upstream with the least work for its speed.
func (f *balanceFleet) leastLoaded() descriptor.Upstream {
	return slices.MinFunc(f.upstreams, func(a, b *simUpstream) int {
		load := func(u *simUpstream) float64 { return float64(u.busy+len(u.queue)-f.slots) / u.speed }
		return cmp.Compare(load(a), load(b))
	}).Upstream
}

// reach runs a request that has reached an upstream, or lets it wait for a slot.
func (f *balanceFleet) reach(host int, u *simUpstream, r descriptor.Request, request *inFlightRequest, tried map[string]bool, hop time.Duration) {
	h := f.members[host]
	isFree := func(u *simUpstream) bool { return u.busy < f.slots }
	f.count(&f.full, !isFree(u) && slices.ContainsFunc(f.upstreams, isFree))
	f.count(&f.refused, len(u.queue) >= f.queue)
	if len(u.queue) >= f.queue {
		f.after(hop, func() {
			h.tracker.end(request, resultUnknown, f.now)
			f.send(host, r, tried)
		})
		return
	}
	arrived := f.now
	run := func() { f.run(h, u, r, request, arrived, hop) }
	if isFree(u) {
		run()
	} else {
		u.queue = append(u.queue, run)
	}
}

// run occupies a slot for the time that the request takes.
func (f *balanceFleet) run(h *simHost, u *simUpstream, r descriptor.Request, request *inFlightRequest, arrived time.Time, hop time.Duration) {
	if f.elapsed() >= balanceWarmUp {
		f.waits = append(f.waits, f.now.Sub(arrived))
	}
	u.busy++
	work := f.minWork + time.Duration(f.random.Int64N(int64(f.maxWork-f.minWork)))
	took := time.Duration(float64(work) / u.speed)
	read := f.read(u, r)
	f.after(hop+read, func() { h.tracker.recordResponseStart(request, f.now) })
	if f.elapsed() >= balanceWarmUp {
		u.worked += took + read
	}
	f.after(took+read, func() {
		u.busy--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			next()
		}
		f.after(hop, func() { h.tracker.end(request, resultOK, f.now) })
	})
}

// read returns how long an engine reads the prompt of a request.
func (f *balanceFleet) read(u *simUpstream, r descriptor.Request) time.Duration {
	if len(r.PromptParts) == 0 {
		return 0
	}
	_, cached := u.cache.Get(r.PromptParts[0].ID)
	u.cache.Add(r.PromptParts[0].ID, true)
	f.count(&f.prompts, true)
	f.count(&f.hits, cached)
	if cached {
		return turnTokens * engineRead
	}
	return (turnTokens + sharedTokens) * engineRead
}

func (f *balanceFleet) result() balanceResult {
	r := balanceResult{Full: f.full / f.sent, Far: f.far / f.sent, Sent: f.sent / f.length.Seconds(), Refused: f.refused / f.sent, Lost: f.lost / f.sent, Opened: f.opened / f.length.Seconds()}
	if f.prompts > 0 {
		r.Hits = f.hits / f.prompts
	}
	slices.Sort(f.waits)
	quantile := func(q float64) time.Duration {
		return f.waits[int(q*float64(len(f.waits)))].Round(10 * time.Microsecond)
	}
	r.P50, r.P95, r.P99 = quantile(0.5), quantile(0.95), quantile(0.99)
	sum := 0.0
	for _, u := range f.upstreams {
		busy := u.worked.Seconds() / f.length.Seconds() / float64(f.slots)
		r.Busy = append(r.Busy, math.Round(busy*100)/100)
		sum += busy
	}
	r.Spread = (slices.Max(r.Busy) - slices.Min(r.Busy)) / (sum / float64(len(r.Busy)))
	return r
}
