package gossiper

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/messenger"
)

// Envelope is a datagram to send.
type Envelope struct {
	// To is the peer address of the receiver.
	To      string
	Message *messenger.Gossip
}

// Detector decides which hosts are live and what to tell other hosts. It does no
// input or output and reads no clock. It is not safe for concurrent use.
type Detector struct {
	// self is the state of this host. It is replaced, never modified.
	self *messenger.Member
	// config is the version of this host's configuration, and newestConfig the highest
	// version that another host has.
	config, newestConfig int64
	// configs holds the version of the configuration that each host had when it last
	// sent this host a datagram, by address.
	configs map[string]int64
	// changes counts the changes of the state of other hosts.
	changes int64

	table Table
	// news holds the states of hosts that are still to be spread, by address, and crashes
	// the reports of crashes, by fingerprint and crash.
	news    queue[*messenger.Member]
	crashes queue[*messenger.Crash]
	// newsRounds is the number of rounds of news that are due even if nothing is to be
	// spread, and newsSentAt is when the last round was sent.
	newsRounds int
	newsSentAt time.Time
	// crashStore keeps the reports of crashes; nil if none are exchanged.
	crashStore CrashStore
	random     *rand.Rand
	// probes holds the unanswered pings by their number, and lastProbe is the number of
	// the newest.
	probes    map[uint64]*probe
	lastProbe uint64
	// unknownPings counts the pings to hosts of which only the address is known, by address.
	unknownPings map[string]int
	// order holds the live hosts in the random order in which they are pinged, and
	// next is the index of the one that is pinged next.
	order []string
	next  int
	// joined is true once another host has sent the state of all members since joinedAt,
	// when other hosts were last asked for it. pulls counts the answers.
	joined   bool
	joinedAt time.Time
	pulls    int
	// probedAt is when the last probe interval began, and interval its number. absentAt is
	// when a host that is not live was last pinged.
	probedAt, absentAt time.Time
	interval           int
	// suspectedAt is when a host last answered none of the pings that this host sent or
	// asked for.
	suspectedAt time.Time
	// tickedAt is when Tick was last called, and lag is by how much recent calls were
	// late. A late host has not read its answers, so it waits longer for them.
	tickedAt time.Time
	lag      time.Duration
	// loads spreads the load reports.
	loads loadReports
	// far spreads the demands of data centres.
	far farDemands
}

// NewDetector returns a Detector of the host that self describes, which knows no other
// hosts. The version of self must be higher than those of the host's earlier runs;
// if it is not, the host raises it when another host names the earlier version.
func NewDetector(self *messenger.Member, random *rand.Rand) *Detector {
	return &Detector{self: self, random: random, probes: make(map[uint64]*probe), configs: make(map[string]int64), unknownPings: make(map[string]int)}
}

// Table returns what this host knows of the other hosts.
func (d *Detector) Table() Table { return d.table }

// NewestConfig returns the highest version of the configuration that another host has
// told this host of.
func (d *Detector) NewestConfig() int64 { return d.newestConfig }

// ConfigOf returns the version of the configuration that a host had when it last sent
// this host a datagram; 0 if it sent none.
func (d *Detector) ConfigOf(address string) int64 { return d.configs[address] }

// Changes returns the number of changes of the state of other hosts so far.
func (d *Detector) Changes() int64 { return d.changes }

// Loads returns the newest load report of each host that has sent one recently.
func (d *Detector) Loads(now time.Time) []Report { return d.loads.current(now) }

// AddAddress adds a host of which only the address is known, or extends how long it
// is remembered.
func (d *Detector) AddAddress(address string, now time.Time) {
	if address != d.self.GetAddress() {
		d.table = d.table.WithAddress(address, now)
	}
}

// SetSelf updates the state of this host and the version of its configuration. A
// change is news for the other hosts. The address, version and status of m are
// ignored.
func (d *Detector) SetSelf(m *messenger.Member, config int64) {
	if config != d.config {
		d.newsRounds = configRounds
	}
	d.config = config
	m = proto.CloneOf(m)
	m.Address, m.Version, m.Status = d.self.GetAddress(), d.self.GetVersion(), messenger.Status_ALIVE
	if !proto.Equal(m, d.self) {
		d.raise(m, m.GetVersion())
	}
}

// raise makes m the state of this host, with a version above the given one, and makes
// it news.
func (d *Detector) raise(m *messenger.Member, above uint64) {
	m.Version = above + 1
	d.self = m
	d.news.add(m.GetAddress(), m, d.table.Len())
}

// SetLoad replaces the requests that this host has in flight at upstreams, and its demands.
func (d *Detector) SetLoad(running []*messenger.Running, demands []*messenger.Demand) {
	d.loads.own, d.loads.demands = running, demands
}

// Tick sends the pings and news that are due, and updates hosts whose time to answer
// or to refute a suspicion is over. It is to be called every TickInterval.
func (d *Detector) Tick(now time.Time) []Envelope {
	d.measureLag(now)
	d.table = d.table.WithoutExpired(now)
	var out []Envelope
	out = append(out, d.checkProbes(now)...)
	d.checkSuspicions(now)
	out = append(out, d.pingUnknown(1)...)
	if now.Sub(d.probedAt) >= probeInterval {
		d.probedAt = now
		out = append(out, d.pingUnknown(maxUnknownPings)...)
		out = append(out, d.pingDue(now)...)
		out = append(out, d.join(now)...)
	}
	if now.Sub(d.absentAt) >= absentInterval {
		d.absentAt = now
		d.forget()
		out = append(out, d.pingAbsent()...)
	}
	out = append(out, d.reportLoad(now)...)
	return append(out, d.Flush(now)...)
}

// forget drops what is kept for hosts that are no longer in the table.
func (d *Detector) forget() {
	unknown := func(address string) bool {
		_, ok := d.table.peers[address]
		return !ok
	}
	maps.DeleteFunc(d.configs, func(address string, _ int64) bool { return unknown(address) })
	maps.DeleteFunc(d.unknownPings, func(address string, _ int) bool { return unknown(address) })
	d.forgetDataCentres()
}

// TickInterval is the time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// measureLag updates lag. After a pause of this host it drops the unanswered pings,
// whose answers may have arrived unread.
func (d *Detector) measureLag(now time.Time) {
	late := time.Duration(0)
	if !d.tickedAt.IsZero() {
		late = max(0, now.Sub(d.tickedAt)-TickInterval)
	}
	d.tickedAt = now
	d.lag = max(late, d.lag*3/4)
	if late > ackTimeout {
		clear(d.probes)
	}
}

// setStatus changes the status of a host and makes it news.
func (d *Detector) setStatus(m *messenger.Member, status messenger.Status, now time.Time) {
	m = proto.CloneOf(m)
	m.Status = status
	d.apply([]*messenger.Member{m}, now)
}

// apply updates the table with states of hosts. What is new is passed on as news.
func (d *Detector) apply(members []*messenger.Member, now time.Time) {
	table, changed := d.table.WithMembers(members, now)
	d.table = table
	d.changes += int64(len(changed))
	for _, m := range changed {
		d.news.add(m.GetAddress(), m, table.Len())
	}
}

// inform sends a host the state that this host has of it.
func (d *Detector) inform(address string) []Envelope {
	m := d.message(messenger.Gossip_NEWS)
	m.Members = []*messenger.Member{d.table.Peer(address).Member}
	return []Envelope{{To: address, Message: m}}
}

// sample returns news and the state of one random live host for a datagram that is
// sent anyway, so that a state that was missed as news arrives all the same.
func (d *Detector) sample() []*messenger.Member {
	members := d.news.take(maxMembersBytes)
	if live := d.table.Live(); len(live) > 0 && len(members) == 0 {
		members = append(members, live[d.random.IntN(len(live))])
	}
	return members
}

// message returns a datagram from this host without members.
func (d *Detector) message(kind messenger.Gossip_Kind) *messenger.Gossip {
	return &messenger.Gossip{Kind: kind, Sender: d.self, Config: d.config}
}

// pickLive returns the addresses of at most count live hosts other than except, in
// random order.
func (d *Detector) pickLive(count int, except string) []string {
	live := d.table.Live()
	var picked []string
	for _, i := range d.random.Perm(len(live)) {
		if len(picked) >= count {
			break
		}
		if address := live[i].GetAddress(); address != except {
			picked = append(picked, address)
		}
	}
	return picked
}

// spread returns the number of times that a host repeats news among n hosts, so that
// nearly certainly all hosts get it in spite of lost datagrams.
func spread(n int) int { return 3 + bits.Len(uint(n)) }
