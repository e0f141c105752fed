package forwarder

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citronpier/citronpier/descriptor"
)

// balanceLoad describes a fleet without a network: hosts that choose upstreams with the real
// decision code, and upstreams that run requests in slots and queue others in order.
type balanceLoad struct {
	hosts, dataCentres int
	slots, queue       int
	// speeds has the speed of each upstream, relative to the mean.
	speeds           []float64
	minWork, maxWork time.Duration
	// utilisation is the mean demand relative to the capacity of all upstreams.
	utilisation float64
	// sharedPrompts is the number of prompt prefixes; 0 means that requests have no prompt.
	sharedPrompts int
	// balanced enables the choice of large fleets. informed replaces the choice by one that
	// knows the state of all upstreams at the time.
	balanced, informed bool
	length             time.Duration
}

// balanceResult is what the requests of a load meet.
type balanceResult struct {
	// Full is the share of requests that meet an upstream without a free slot while another
	// upstream has one. Far is the share that is sent to another data centre.
	Full, Far float64
	// Spread is the difference between the highest and the lowest utilisation of the
	// upstreams, relative to their mean.
	Spread float64
	// P50, P95 and P99 are percentiles of the wait for a slot.
	P50, P95, P99 time.Duration
	// Sent is the number of requests a second that hosts send to upstreams, and Opened the
	// number of connections that they open for them.
	Sent, Opened float64
	// Refused is the share of sends that a full queue refuses, and Lost the share of requests
	// that all upstreams refuse.
	Refused, Lost float64
	// Hits is the share of shared prompts that an engine has in its cache.
	Hits float64
	// Busy is the utilisation of each upstream.
	Busy []float64
}

const (
	balanceWarmUp = 6 * time.Second
	// balancePeriod is the period of the demand's swing.
	balancePeriod = 12 * time.Second
	nearHop       = 250 * time.Microsecond
	farHop        = 700 * time.Microsecond
	// reportStep is the time between two reports of a host; a report that is used is from
	// reportMinAge to reportMinAge + reportAges old.
	reportStep   = 150 * time.Millisecond
	reportMinAge = 150 * time.Millisecond
	reportAges   = 1050 * time.Millisecond
	// farReportAges is the time between two reports of the demands of another data centre.
	farReportAges = 7 * time.Second
	// idleLimit is how long a host keeps an idle connection.
	idleLimit = 4 * time.Second
	// loadsKept is how long a host uses the sum of the reports before it sums again.
	loadsKept = 50 * time.Millisecond
)

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (q simEvents) Len() int           { return len(q) }
func (q simEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(e any)        { *q = append(*q, e.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simReport is what a host reports at a time.
type simReport struct {
	loads     map[uint64]UpstreamLoad
	perSecond float64
}

// simHost is a host that chooses upstreams.
type simHost struct {
	tracker        UpstreamTracker
	id, dataCentre string
	// reports has one entry for each reportStep.
	reports  []simReport
	loads    map[uint64]UpstreamLoad
	demands  map[string]float64
	loadedAt time.Time
	// idleSince is when the host last used a connection to each upstream.
	idleSince map[string]time.Time
}

// balanceFleet plays a load.
type balanceFleet struct {
	balanceLoad
	random     *rand.Rand
	start, now time.Time
	events     simEvents
	members    []*simHost
	hostList   []descriptor.Host
	upstreams  []*simUpstream
	list       []descriptor.Upstream
	sessions   map[string]string
	requests   int
	waits      []time.Duration

	lost, opened, sent, full, far, refused, hits, prompts float64
}

func newBalanceFleet(l balanceLoad, seed uint64) *balanceFleet {
	f := &balanceFleet{
		balanceLoad: l, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		sessions: make(map[string]string),
	}
	for i := range l.hosts {
		h := &simHost{id: fmt.Sprint("host", i), dataCentre: fmt.Sprint("dc", i%l.dataCentres), idleSince: make(map[string]time.Time)}
		f.members = append(f.members, h)
		f.hostList = append(f.hostList, descriptor.Host{ID: h.id, DataCentre: h.dataCentre})
	}
	for i, speed := range l.speeds {
		u := &simUpstream{speed: speed, Upstream: descriptor.Upstream{
			ID: fmt.Sprintf("i-%x", i*7919), Service: "s", Slots: l.slots, DataCentre: fmt.Sprint("dc", i%l.dataCentres),
		}}
		u.cache, _ = lru.New[string, bool](promptsPerEngine)
		f.upstreams = append(f.upstreams, u)
		f.list = append(f.list, u.Upstream)
	}
	return f
}

func (f *balanceFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, simEvent{at: f.now.Add(d), do: do})
}

// elapsed returns the time since the start.
func (f *balanceFleet) elapsed() time.Duration { return f.now.Sub(f.start) }

// play runs the load and returns what its requests met.
func (f *balanceFleet) play() balanceResult {
	for i := range f.members {
		f.arrive(i)
	}
	f.report()
	for len(f.events) > 0 {
		e, _ := heap.Pop(&f.events).(simEvent)
		if e.at.Sub(f.start) > balanceWarmUp+f.length {
			break
		}
		f.now = e.at
		e.do()
	}
	return f.result()
}

// report records what each host reports, every reportStep.
func (f *balanceFleet) report() {
	for _, h := range f.members {
		h.reports = append(h.reports, simReport{loads: h.tracker.Loads(f.now), perSecond: h.tracker.Demands(f.now)["s"]})
	}
	f.after(reportStep, f.report)
}

// demand returns the requests a second that arrive at a host. Demand swings by half, at other
// times in each data centre, which differ in their mean.
func (f *balanceFleet) demand(host int) float64 {
	dataCentre := host % f.dataCentres
	capacity := 0.0
	for _, u := range f.upstreams {
		capacity += float64(f.slots) * u.speed / ((f.minWork + f.maxWork) / 2).Seconds()
	}
	weight := 0.7 + 0.6*float64(dataCentre)/float64(f.dataCentres-1)
	phase := 2 * math.Pi * (f.elapsed().Seconds()/balancePeriod.Seconds() + float64(dataCentre)/float64(f.dataCentres))
	return f.utilisation * capacity / float64(f.hosts) * weight * (1 + 0.5*math.Sin(phase))
}

// arrive sends a request from a host when one arrives, and the next ones.
func (f *balanceFleet) arrive(host int) {
	const maxRise = 4 // thinning needs an upper bound of the demand until the next arrival
	highest := max(1, f.demand(host)) * maxRise
	f.after(time.Duration(f.random.ExpFloat64()/highest*float64(time.Second)), func() {
		if f.random.Float64()*highest < f.demand(host) {
			f.requests++
			f.members[host].tracker.recordArrival("s", f.now)
			f.send(host, f.newRequest(), nil)
		}
		f.arrive(host)
	})
}

// newRequest returns a request with the prompt of one of many programs, if the load has prompts.
func (f *balanceFleet) newRequest() descriptor.Request {
	r := descriptor.Request{ID: fmt.Sprint("r", f.requests)}
	if f.sharedPrompts == 0 {
		return r
	}
	const programs = 60
	program := f.random.IntN(programs)
	r.Program = fmt.Sprint("p", program)
	r.Prompt = sharedTokens + turnTokens
	r.PromptParts = []descriptor.PromptPart{
		{ID: fmt.Sprint("shared", program%f.sharedPrompts), Tokens: sharedTokens}, {ID: fmt.Sprint("own", f.requests), Tokens: turnTokens},
	}
	return r
}

// remoteLoads returns the sum of the reports that a host has of others in its data centre.
func (f *balanceFleet) remoteLoads(host int) map[uint64]UpstreamLoad {
	h := f.members[host]
	if h.loads != nil && f.now.Sub(h.loadedAt) < loadsKept {
		return h.loads
	}
	h.loads, h.loadedAt = make(map[uint64]UpstreamLoad), f.now
	told, dataCentres := make(map[string]float64), make(map[string]float64)
	for i, other := range f.members {
		if i == host {
			continue
		}
		if other.dataCentre != h.dataCentre {
			dataCentres[other.dataCentre] += f.oldReport(other, h.id+other.dataCentre, farReportAges).perSecond
			continue
		}
		report := f.oldReport(other, h.id+other.id, reportAges)
		told[other.id] = report.perSecond
		for hash, l := range report.loads {
			h.loads[hash] = h.loads[hash].With(l)
		}
	}
	h.demands = SumDemands(told, dataCentres, f.hostList, descriptor.Host{ID: h.id, DataCentre: h.dataCentre})
	return h.loads
}

// oldReport returns a report of a host. Its age grows from reportMinAge by ages until the next
// report arrives, at a time that depends on the key.
func (f *balanceFleet) oldReport(from *simHost, key string, ages time.Duration) simReport {
	age := reportMinAge + (f.elapsed()+time.Duration(xxhash.Sum64String(key)%uint64(ages)))%ages
	return from.reports[max(0, f.elapsed()-age)/reportStep]
}

// send sends a request to the upstream that the host chooses.
func (f *balanceFleet) send(host int, r descriptor.Request, tried map[string]bool) {
	h := f.members[host]
	input := choiceInput{request: r, dataCentre: h.dataCentre, tried: tried, remoteLoads: f.remoteLoads(host)}
	if f.balanced {
		input.remoteDemand.DataCentres = h.demands
	}
	input.connected = func(u descriptor.Upstream) bool { return f.now.Sub(h.idleSince[u.ID]) < idleLimit }
	input.programUpstream = f.sessions[r.Program]
	chosen, ok := h.tracker.choose(f.list, input, f.now)
	f.count(&f.lost, !ok)
	if !ok {
		return
	}
	if f.informed {
		chosen.Upstream = f.leastLoaded()
	}
	request := h.tracker.begin(chosen, r.PromptParts, f.now)
	u := f.upstreams[slices.IndexFunc(f.list, func(u descriptor.Upstream) bool { return u.ID == chosen.ID })]
	hop := nearHop
	if u.DataCentre != h.dataCentre {
		hop = farHop
	}
	f.count(&f.sent, true)
	f.count(&f.far, hop == farHop)
	f.count(&f.opened, !input.connected(u.Upstream))
	h.idleSince[u.ID] = f.now
	f.after(hop, func() { f.reach(host, u, r, request, withTried(tried, u.ID), hop) })
	if r.Program != "" {
		f.sessions[r.Program] = u.ID
	}
}

// count adds to a counter if the condition holds and the warm-up is over.
func (f *balanceFleet) count(counter *float64, condition bool) {
	if condition && f.elapsed() >= balanceWarmUp {
		*counter++
	}
}
