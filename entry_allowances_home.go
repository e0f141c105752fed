package citronpier

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/granter"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
)

// unknownOrganisationRetry is after how long a host asks again for an organisation that its home
// has not learned of yet.
const unknownOrganisationRetry = 100 * time.Millisecond

// allowanceServer implements messenger.Allowances for other hosts.
type allowanceServer struct{ allowances *allowances }

// Take answers the claims of another host.
func (s allowanceServer) Take(_ context.Context, r *messenger.TakeRequest) (*messenger.TakeReply, error) {
	return s.allowances.answer(r), nil
}

// answer grants credits of the organisations that this host is home of. Claims for others are
// passed on to their home. If it does not answer a host that has not reached it either, this host
// grants a few credits itself.
func (a *allowances) answer(r *messenger.TakeRequest) *messenger.TakeReply {
	reply := &messenger.TakeReply{Grants: make([]*messenger.Grant, len(r.GetClaims()))}
	for home, indices := range a.answerOwn(r, reply) {
		a.relay(home, r, indices, reply)
	}
	return reply
}

// answerOwn answers the claims for organisations that this host is home of. It returns the
// indices of the others by their home.
func (a *allowances) answerOwn(r *messenger.TakeRequest, reply *messenger.TakeReply) map[descriptor.Host][]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	view := a.config.Hosts(now)
	a.observe(view, now)
	var others map[descriptor.Host][]int
	for i, c := range r.GetClaims() {
		home, ok := view.Home(organisationKey(c.GetOrganisation()), now)
		if ok && home.ID == a.config.Self {
			reply.Grants[i] = a.grant(r, c, view, now)
			continue
		}
		reply.Grants[i] = &messenger.Grant{Organisation: c.GetOrganisation(), Elsewhere: true}
		if !ok || r.GetRelayed() {
			continue
		}
		if others == nil {
			others = make(map[descriptor.Host][]int)
		}
		others[home] = append(others[home], i)
	}
	return others
}

// relay passes claims on to their home.
func (a *allowances) relay(home descriptor.Host, r *messenger.TakeRequest, indices []int, reply *messenger.TakeReply) {
	passed := &messenger.TakeRequest{Host: r.GetHost(), Incarnation: r.GetIncarnation(), Number: r.GetNumber(), Relayed: true}
	for _, i := range indices {
		passed.Claims = append(passed.Claims, r.GetClaims()[i])
	}
	var answer *messenger.TakeReply
	if a.mayRelay(home, r) {
		var err error
		if answer, err = a.send(home, passed, allowanceRelayTimeout); err != nil {
			a.suspectRelay(home)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for n, i := range indices {
		switch {
		case n < len(answer.GetGrants()) && !answer.GetGrants()[n].GetElsewhere():
			reply.Grants[i] = answer.GetGrants()[n]
		case r.GetForced():
			reply.Grants[i] = a.grant(r, r.GetClaims()[i], a.config.Hosts(now), now)
		}
	}
}

// mayRelay reports whether claims of a host may be passed on to a home.
func (a *allowances) mayRelay(home descriptor.Host, r *messenger.TakeRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return home.ID != r.GetHost() && !time.Now().Before(a.relaySuspects[home.ID])
}

func (a *allowances) suspectRelay(home descriptor.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relaySuspects[home.ID] = time.Now().Add(allowanceRelaySuspicion)
}

// grant answers one claim. The caller must hold mu.
func (a *allowances) grant(r *messenger.TakeRequest, c *messenger.Claim, view locator.View, now time.Time) *messenger.Grant {
	name := c.GetOrganisation()
	answer := &messenger.Grant{Organisation: name}
	o, ok := a.config.Organisations().Organisation(name)
	if !ok || o.PerSecond <= 0 {
		retry := roundUp(unknownOrganisationRetry)
		answer.Retry, answer.RetryBeginning, answer.RetrySingle = retry, retry, retry
		return answer
	}
	h, ok := a.homes[name]
	if !ok {
		h = &granter.Home{}
		a.homes[name] = h
	}
	g, ok := h.Claim(granter.Claim{
		Host: r.GetHost(), Run: r.GetIncarnation(), Number: r.GetNumber(),
		Held: count(c.GetHeld()), Wanted: count(c.GetWanted()),
		Waiting:  [granter.Kinds]int{count(c.GetWaiting()), count(c.GetBeginning()), count(c.GetSingle())},
		Programs: count(c.GetPrograms()), Requests: count(c.GetRequests()),
	}, a.terms(o), a.standing(name, view, now), a.config.Uptime())
	if ok {
		answer.Credits, answer.Beginnings, answer.Short = int64(g.Credits), int64(g.Beginnings), g.Short
		answer.Retry = roundUp(g.Retry[granter.Continuing])
		answer.RetryBeginning, answer.RetrySingle = roundUp(g.Retry[granter.Beginning]), roundUp(g.Retry[granter.Single])
	}
	return answer
}

// maxClaim bounds the numbers in a claim.
const maxClaim = 1 << 20

// count returns a number of a message within its bounds.
func count(n int64) int { return int(min(maxClaim, max(0, n))) }

// roundUp returns a duration in whole milliseconds.
func roundUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// standing returns what this host knows of its place. The caller must hold mu.
func (a *allowances) standing(name string, view locator.View, now time.Time) granter.Standing {
	home, ok := view.Home(organisationKey(name), now)
	s := granter.Standing{
		Home: ok && home.ID == a.config.Self, Registered: a.registered,
		Resumed: a.continuity.Since(), Stable: a.stable,
	}
	for _, h := range view.Members().Hosts {
		s.Live++
		s.First = s.First || h.ID == a.first
	}
	return s
}

// tick follows the live hosts, and drops what is not needed any more.
func (a *allowances) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(a.config.Hosts(now), now)
	up := a.config.Uptime()
	if up-a.pruned < allowancePruneAfter {
		return
	}
	a.pruned = up
	for name, p := range a.pools {
		if _, ok := a.config.Organisations().Organisation(name); !ok && p.Idle(allowancePruneAfter, up) {
			delete(a.pools, name)
		}
	}
}

// observe notices pauses and changes of the live hosts. The caller must hold mu.
func (a *allowances) observe(view locator.View, now time.Time) {
	up := a.config.Uptime()
	a.continuity = a.continuity.WithTick(up)
	var members uint64
	for _, h := range view.Members().Hosts {
		members += xxhash.Sum64String(h.ID)
	}
	if members == a.members && a.stable > 0 {
		return
	}
	a.members, a.stable = members, up
	organisations := a.config.Organisations()
	for name, h := range a.homes {
		o, ok := organisations.Organisation(name)
		if !ok || o.PerSecond <= 0 {
			delete(a.homes, name)
			continue
		}
		h.Tick(a.terms(o), a.standing(name, view, now), up)
	}
}
