package citronpier

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/granter"
	"github.com/citronpier/citronpier/messenger"
)

// homeBatcher calls one home. At most one call is in flight; what is asked for meanwhile is asked
// for together in the next one.
type homeBatcher struct {
	home descriptor.Host
	// forced is true if this is not the home in the host's view, but the next host.
	forced bool
	// calling is true while a call is in flight or about to be made.
	calling bool
	called  time.Time
	next    *round
}

// round is what the next call of a homeBatcher asks for.
type round struct {
	claims map[string]waitingRequests
	// answered is closed when the call has ended.
	answered chan struct{}
}

// waitingRequests counts the requests of an organisation that wait for the call, by kind.
type waitingRequests [granter.Kinds]int

func newRound() *round {
	return &round{claims: make(map[string]waitingRequests), answered: make(chan struct{})}
}

// organisationKey returns the key from which rendezvous hashing finds the home of an
// organisation.
func organisationKey(name string) string { return "organisation/" + name }

// target returns the homeBatcher of the host to ask, or nil if no host is known. The caller must
// hold mu.
func (a *allowances) target(name string, now time.Time) *homeBatcher {
	view := a.config.Hosts(now)
	first, ok := view.Home(organisationKey(name), now)
	if !ok {
		return nil
	}
	home := first
	for id, until := range a.suspects {
		if now.Before(until) {
			view = view.WithSuspect(id, until)
		} else {
			delete(a.suspects, id)
		}
	}
	if len(a.suspects) > 0 {
		home, _ = view.Home(organisationKey(name), now)
	}
	c, ok := a.batchers[home.ID]
	if !ok || c.home != home {
		c = &homeBatcher{home: home, next: newRound()}
		a.batchers[home.ID] = c
	}
	c.forced = home.ID != first.ID
	return c
}

// ask makes a request wait for the next call to the home. It returns nil if no host is known.
// The caller must hold mu.
func (a *allowances) ask(name string, kind granter.Kind, now time.Time) <-chan struct{} {
	c := a.target(name, now)
	if c == nil {
		return nil
	}
	w := c.next.claims[name]
	w[kind]++
	c.next.claims[name] = w
	answered := c.next.answered
	if !c.calling {
		c.calling = true
		go a.call(c)
	}
	return answered
}

// refill asks for credits in advance in the next call to the home. The caller must hold mu.
func (a *allowances) refill(name string, now time.Time) {
	c := a.target(name, now)
	if c == nil {
		return
	}
	if _, ok := c.next.claims[name]; ok {
		return
	}
	c.next.claims[name] = waitingRequests{}
	if !c.calling && len(c.next.claims) == 1 {
		time.AfterFunc(allowanceRefill-now.Sub(c.called), func() { a.callDue(c) })
	}
}

// callDue calls the home if a refill is due and no call is in flight.
func (a *allowances) callDue(c *homeBatcher) {
	a.mu.Lock()
	due := !c.calling && len(c.next.claims) > 0
	c.calling = c.calling || due
	a.mu.Unlock()
	if due {
		a.call(c)
	}
}

// call calls the home until no request waits for it.
func (a *allowances) call(c *homeBatcher) {
	for again := true; again; {
		a.mu.Lock()
		current, up, now := c.next, a.config.Uptime(), time.Now()
		c.next, c.called = newRound(), now
		r := a.request(c, current, up)
		a.mu.Unlock()
		reply, err := a.send(c.home, r, allowanceCallTimeout)
		a.mu.Lock()
		a.settle(c, r, reply, err, up)
		again = a.again(c)
		close(current.answered)
		a.mu.Unlock()
	}
}

// again reports whether a request waits for another call. Otherwise a refill is scheduled, if one
// is due. The caller must hold mu.
func (a *allowances) again(c *homeBatcher) bool {
	for _, w := range c.next.claims {
		if w != (waitingRequests{}) {
			return true
		}
	}
	c.calling = false
	if len(c.next.claims) > 0 {
		time.AfterFunc(allowanceRefill, func() { a.callDue(c) })
	}
	return false
}

// request returns the message for a round. The caller must hold mu.
func (a *allowances) request(c *homeBatcher, current *round, up time.Duration) *messenger.TakeRequest {
	a.number++
	r := &messenger.TakeRequest{Host: a.config.Self, Incarnation: a.config.Run, Number: a.number, Forced: c.forced}
	for name, w := range current.claims {
		claim := a.pool(name).Claim(w, up)
		r.Claims = append(r.Claims, &messenger.Claim{
			Organisation: name, Held: int64(claim.Held), Wanted: int64(claim.Wanted),
			Waiting: int64(claim.Waiting[granter.Continuing]), Beginning: int64(claim.Waiting[granter.Beginning]),
			Single:   int64(claim.Waiting[granter.Single]),
			Programs: int64(claim.Programs), Requests: int64(claim.Requests),
		})
	}
	return r
}

// send calls a host, which may be this one.
func (a *allowances) send(h descriptor.Host, r *messenger.TakeRequest, timeout time.Duration) (*messenger.TakeReply, error) {
	ctx, cancel := context.WithTimeout(a.config.Background, timeout)
	defer cancel()
	if h.ID == a.config.Self {
		return a.answer(r), nil
	}
	return a.config.Open(h).Take(ctx, r)
}

// settle takes over the answer to a call. The caller must hold mu.
func (a *allowances) settle(c *homeBatcher, r *messenger.TakeRequest, reply *messenger.TakeReply, err error, sent time.Duration) {
	up, failed := a.config.Uptime(), err != nil
	for _, g := range reply.GetGrants() {
		if g.GetElsewhere() {
			failed = true
			continue
		}
		a.pool(g.GetOrganisation()).Settle(granter.Grant{
			Credits: count(g.GetCredits()), Beginnings: count(g.GetBeginnings()), Short: g.GetShort(),
			Retry: [granter.Kinds]time.Duration{
				milliseconds(g.GetRetry()), milliseconds(g.GetRetryBeginning()), milliseconds(g.GetRetrySingle()),
			},
		}, sent, up)
	}
	if !failed || c.home.ID == a.config.Self {
		return
	}
	a.suspects[c.home.ID] = time.Now().Add(allowanceSuspicion)
	a.config.Logger.Info().Err(err).Str("peer", c.home.ID).Int("organisations", len(r.GetClaims())).
		Dur("for_ms", allowanceSuspicion).Msg("home of organisations does not answer, asking the next host")
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
