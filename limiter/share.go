package limiter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// minDemand is the demand, in requests a second, that every host counts as having, so that
// one without requests can begin to send at once.
const minDemand = 0.05

// Demand is how many requests a second the hosts would send under a limit that they share.
type Demand struct {
	// Self is the id of this host.
	Self string
	// PerSecond has the demands of this host and of others, by host, as all hosts know them
	// by now: the hosts reckon with the same figures.
	PerSecond map[string]float64
	// Telling is the number of live hosts that tell this one, itself included: those that
	// are not in PerSecond have no demand. Hosts is the number of all live hosts: the
	// rest counts as alike.
	Telling, Hosts int
}

// Rate is what one host may send. The zero value is nothing.
type Rate struct {
	// PerSecond is the number of requests a second.
	PerSecond float64
	// Burst is the number of requests that may be saved up.
	Burst float64
}

// What the hosts may save up together, as a number of requests: some seconds of the limit and
// a few more. Where each host may save up a whole request, this is fixed. In a larger fleet
// the hosts with demand change, and as many again may have saved up before.
const (
	burstSeconds, burstExtra           = 1.5, 3
	largeBurstSeconds, largeBurstExtra = 1, 2
)

// Rate returns this host's part of a limit, in requests a second of all hosts, that the
// upstream with the given id names. The parts follow the demands. A part below one request
// would never be used: if there are more hosts than the limit has requests to save up, only
// hosts with demand have a part, and of these not all, but others for each upstream.
func (d Demand) Rate(upstream string, limit float64) Rate {
	if hosts := float64(d.Hosts); d.isSmall(limit) {
		return Rate{PerSecond: limit * d.share(), Burst: (burstSeconds*limit + burstExtra) / max(1, hosts)}
	}
	part := float64(max(1, d.Telling)) / float64(d.Hosts)
	most := max(1, int((largeBurstSeconds*limit+largeBurstExtra)*part))
	rank, demanding := d.rank(upstream)
	if rank >= most {
		return Rate{}
	}
	return Rate{PerSecond: limit * part / float64(min(most, demanding)), Burst: 1}
}

// isSmall reports whether each host may save up a whole request.
func (d Demand) isSmall(limit float64) bool {
	return float64(d.Hosts) <= burstSeconds*limit+burstExtra
}

// Untold reports whether this host has no part of a limit only because the other hosts don't
// know its demand yet.
func (d Demand) Untold(limit float64) bool {
	return !d.isSmall(limit) && d.PerSecond[d.Self] < minDemand
}

// share returns this host's part of the demand.
func (d Demand) share() float64 {
	known := 0.0
	for _, perSecond := range d.PerSecond {
		known += perSecond
	}
	telling := float64(max(1, len(d.PerSecond), d.Telling))
	hosts := max(telling, float64(d.Hosts))
	return (d.PerSecond[d.Self] + minDemand) / (hosts * (known/telling + minDemand))
}

// rank returns this host's place, from 0 on, among the hosts with demand, in an order that is
// the same for all hosts, and the number of these hosts. A host without demand comes last.
func (d Demand) rank(upstream string) (rank, demanding int) {
	own := rankHash(upstream, d.Self)
	for host, perSecond := range d.PerSecond {
		if perSecond < minDemand {
			continue
		}
		demanding++
		if host != d.Self && rankHash(upstream, host) < own {
			rank++
		}
	}
	if d.PerSecond[d.Self] < minDemand {
		rank = d.Hosts
	}
	return rank, demanding
}

// rankHash returns the rendezvous hash of an upstream and a host.
func rankHash(upstream, host string) uint64 { return xxhash.Sum64String(upstream + " " + host) }

// Allowance is what one host has saved up under a limit that it shares with others. It is a
// token bucket whose rate changes, and which may be in debt. It is immutable.
type Allowance struct {
	saved     float64
	updatedAt time.Time
}

// NewAllowance returns an allowance that begins to save up at now.
func NewAllowance(now time.Time) Allowance { return Allowance{updatedAt: now} }

// at returns what is saved up at a later time.
func (a Allowance) at(r Rate, now time.Time) float64 {
	return min(a.saved+r.PerSecond*now.Sub(a.updatedAt).Seconds(), r.Burst)
}

// maxWait is the longest time that Wait returns.
const maxWait = time.Minute

// Wait returns how long the next request has to wait.
func (a Allowance) Wait(r Rate, now time.Time) time.Duration {
	missing := 1 - a.at(r, now)
	switch {
	case missing <= 0:
		return 0
	case r.PerSecond <= 0:
		return maxWait
	default:
		return min(maxWait, time.Duration(missing/r.PerSecond*float64(time.Second)))
	}
}

// WithRequest returns the allowance after a request was let through, which is sent once its
// wait is over.
func (a Allowance) WithRequest(r Rate, now time.Time) Allowance {
	return Allowance{saved: a.at(r, now) - 1, updatedAt: now}
}
