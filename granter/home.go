package granter

import (
	"math"
	"time"
)

const (
	// Validity is how long a host may spend a credit after it sent the request for it.
	Validity = 5 * time.Second
	// expiryMargin is how much longer the home counts a credit as unspent.
	expiryMargin = time.Second
	// minRetry and maxRetry bound the time after which a host asks again after a refusal.
	// Below minRetry, excess requests would cost a message each.
	minRetry = 50 * time.Millisecond
	maxRetry = 5 * time.Second
	// maxReducedRetry bounds it at a home of a few hosts, as another home may grant more.
	maxReducedRetry = 300 * time.Millisecond
	// probation is the time in which a new home grants the reduced rate, because another host
	// may still be home of others. It ends after minProbation if more than half of the
	// registered hosts have asked this one. Hosts detect a failure within 1.4 s of each other.
	probation    = 1500 * time.Millisecond
	minProbation = 700 * time.Millisecond
	// recentClaim is the time for which a host counts among those that follow a home.
	recentClaim = time.Second
	// shortFraction is the part of the bucket's capacity below which it counts as short, and
	// reserveFraction the part kept for programs that have begun.
	shortFraction   = 0.5
	reserveFraction = 0.25
	// advanceFraction is the part of what is left that one host gets in advance.
	advanceFraction = 0.5
)

// Claim is what a host asks the home of an organisation for.
type Claim struct {
	// Host is the asking host and Run its incarnation. Number orders the claims of a run.
	Host, Run string
	Number    int64
	// Held is the number of credits that the host holds unspent, and Wanted the number that
	// it asks for in advance.
	Held, Wanted int
	// Waiting is the number of waiting requests of each kind.
	Waiting [Kinds]int
	// Programs is the number of programs that have begun with credits got in advance, and
	// Requests the number of requests of programs sent, since the last claim.
	Programs, Requests int
}

// Grant is the answer to a claim. The zero value grants nothing and refuses nothing.
type Grant struct {
	// Credits is the number of credits, and Beginnings the number of further credits for
	// requests that begin programs or belong to none.
	Credits, Beginnings int
	// Retry is after how long to ask again for requests of each kind; 0 if none was refused.
	Retry [Kinds]time.Duration
	// Short means that requests that begin programs or belong to none have to ask.
	Short bool
}

// hold is what a host holds as its home knows it.
type hold struct {
	run     string
	number  int64
	credits int
	claimed time.Duration
}

// Home is the bucket of one organisation at its home. The zero value has granted nothing. It is
// not safe for concurrent use.
type Home struct {
	terms  Terms
	bucket bucket
	level  float64
	at     time.Duration
	since  time.Duration
	begun  bool
	away   bool
	// leads is true while no other host grants the full rate, which is so since alone.
	leads bool
	alone time.Duration
	// recent counts the credits granted in the last window.
	recent   recent
	holds    map[string]hold
	programs programs
}

// Level returns the credits in the bucket.
func (h *Home) Level() float64 { return h.level }

// Held returns the credits that hosts hold unspent, as far as the home knows. It forgets hosts whose
// credits have expired.
func (h *Home) Held(now time.Duration) int {
	held := 0
	for host, o := range h.holds {
		if now-o.claimed >= Validity+expiryMargin {
			delete(h.holds, host)
			continue
		}
		held += o.credits
	}
	return held
}

// Mean returns the learned number of requests of a program.
func (h *Home) Mean() float64 { return h.programs.mean() }

// Home reports whether the host was home of the organisation when it was last asked.
func (h *Home) Home() bool { return h.begun && !h.away }

// Reduced reports whether the home grants less than the full rate.
func (h *Home) Reduced() bool { return h.bucket.perSecond < h.terms.PerSecond }

// Tick brings the bucket to now. It must be called when the host's view changes.
func (h *Home) Tick(t Terms, s Standing, now time.Duration) {
	switch {
	case !h.begun:
		h.begin(t, max(s.Resumed, s.Stable))
	case h.since < s.Resumed:
		h.restart(t, s.Resumed)
	case h.away && s.Home:
		h.restart(t, now)
	}
	h.away = !s.Home
	h.terms = t
	b := h.nextBucket(t, s, now)
	h.bucket = b
	h.recent.advance(t.Window, now)
	start := b.capacity
	if !s.Home {
		start = t.start()
	}
	h.level = b.fill(h.level, start, max(0, now-h.at))
	h.at = max(h.at, now)
	h.programs.tick(t, b.perSecond, now)
}

// begin starts the bucket of a home.
func (h *Home) begin(t Terms, since time.Duration) {
	h.begun, h.since, h.at = true, since, since
	h.level = t.start()
	h.holds = make(map[string]hold)
}

// restart starts the bucket again, because another home may have granted credits meanwhile.
func (h *Home) restart(t Terms, since time.Duration) {
	h.since, h.at = since, since
	h.level = min(h.level, t.start())
	clear(h.holds)
}

// established reports whether no other host grants the full rate.
func (h *Home) established(s Standing, now time.Duration) bool {
	if !s.Home || !s.majority() {
		return false
	}
	age := now - h.since
	return age >= probation || age >= minProbation && 2*h.claimants(now) > s.Registered
}

// followers returns the number of hosts for which this one is home.
func (h *Home) followers(s Standing, now time.Duration) int {
	if s.Home {
		return s.Live
	}
	return h.claimants(now)
}

// claimants returns the number of hosts that have asked recently.
func (h *Home) claimants(now time.Duration) int {
	n := 0
	for _, o := range h.holds {
		if now-o.claimed <= recentClaim {
			n++
		}
	}
	return n
}

// Claim answers a claim. It returns false for a claim that was overtaken by a later one of
// the same host, or repeated.
func (h *Home) Claim(c Claim, t Terms, s Standing, now time.Duration) (Grant, bool) {
	h.Tick(t, s, now)
	previous := h.holds[c.Host]
	if previous.run == c.Run && c.Number <= previous.number {
		return Grant{}, false
	}
	h.holds[c.Host] = hold{run: c.Run, number: c.Number, credits: c.Held, claimed: now}
	h.Tick(t, s, now)
	h.programs.learn(c.Programs, c.Requests)
	g := Grant{Short: h.short() || h.programs.indebted()}
	h.grantContinuing(c.Waiting[Continuing], &g)
	h.grantNew(c.Waiting[Beginning], Beginning, &g)
	h.grantNew(c.Waiting[Single], Single, &g)
	advance := h.advance(c, now)
	g.Credits += advance
	h.holds[c.Host] = hold{run: c.Run, number: c.Number, credits: c.Held + advance, claimed: now}
	return g, true
}

// short reports whether the bucket is so low that programs need credit to begin.
func (h *Home) short() bool { return h.available() < shortFraction*h.bucket.capacity }

// reserve returns the credits that are kept for programs that have begun.
func (h *Home) reserve() float64 {
	if !h.short() {
		return 0
	}
	return reserveFraction * h.bucket.capacity
}

// grantContinuing grants credits for requests of running programs.
func (h *Home) grantContinuing(waiting int, g *Grant) {
	overdraft := h.overdraft()
	n := min(waiting, max(0, int(math.Floor(h.available()+overdraft))))
	h.take(n)
	g.Credits = n
	if n < waiting {
		h.programs.overdraw(waiting - n)
		g.Retry[Continuing] = h.retry(h.until(1 - overdraft))
	}
}

// grantNew grants credits for requests that begin programs or belong to none.
func (h *Home) grantNew(waiting int, kind Kind, g *Grant) {
	for range waiting {
		needed := min(h.bucket.capacity, 1+h.reserve())
		if h.available() < needed || !h.programs.mayBegin(kind, h.short()) {
			g.Retry[kind] = h.retry(max(h.until(needed), h.programs.wait(kind)))
			g.Short = true
			return
		}
		h.take(1)
		h.programs.begin(kind)
		g.Beginnings++
	}
}

// retry returns after how long to ask again if credit is expected after the given time.
func (h *Home) retry(expected time.Duration) time.Duration {
	if h.Reduced() {
		expected = min(expected, maxReducedRetry)
	}
	return max(minRetry, expected)
}

// advance returns the credits that the host gets in advance.
func (h *Home) advance(c Claim, now time.Duration) int {
	if h.Reduced() {
		return 0
	}
	room := math.Floor(heldFraction*h.terms.slack()) - float64(h.Held(now))
	spare := math.Floor(advanceFraction * (h.available() - h.reserve()))
	n := max(0, min(c.Wanted, int(room), int(spare)))
	h.take(n)
	return n
}
