package gossiper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/messenger"
)

const (
	// reportInterval is the time between two rounds of load reports.
	reportInterval = 150 * time.Millisecond
	// ReportFanout is the number of hosts at most that get a load report in one round,
	// and reportBytes the size in bytes of the reports of a round. The hosts of a data
	// centre take turns, so that a host sends as much in a large data centre as in a
	// small one.
	ReportFanout = 8
	reportBytes  = 700
	// minReportLifetime is how long a load report is valid at least.
	minReportLifetime = time.Second
	// maxRunning bounds the upstreams in a load report, so that it is not fragmented.
	maxRunning = 60
)

// Report is the requests that a host has in flight at upstreams.
type Report struct {
	// Host is the address of the sender.
	Host    string
	Running []*messenger.Running
	// Demands are the requests a second that arrive at the host for each service.
	Demands []*messenger.Demand
	// version is the version of the sender's state, and number orders the reports of one
	// run of the sender.
	version, number uint64
	receivedAt      time.Time
}

// loadReports spreads load reports among the hosts of a data centre. In a small data centre
// some hosts of other data centres get them too. The zero value is ready
// to use.
type loadReports struct {
	// own and demands are what this host reports, and number the number of its last report.
	own     []*messenger.Running
	demands []*messenger.Demand
	number  uint64
	// quietRounds counts the rounds since own was last not empty.
	quietRounds int
	sentAt      time.Time
	// next is the index of the host that gets the next report.
	next int
	// rounds is the number of rounds in which all receivers get a report.
	rounds int
	// reports holds the newest report of each host by its address.
	reports map[string]Report
}

// store keeps a report, unless a newer one of the same run of the host is known.
func (c *loadReports) store(m *messenger.Gossip, now time.Time) {
	host, version := m.GetSender().GetAddress(), m.GetSender().GetVersion()
	old := c.reports[host]
	if old.version > version || (old.version == version && old.number >= m.GetReport()) {
		return
	}
	if c.reports == nil {
		c.reports = make(map[string]Report)
	}
	c.reports[host] = Report{Host: host, Running: m.GetRunning(), Demands: m.GetDemands(), version: version, number: m.GetReport(), receivedAt: now}
}

// current returns the reports that are still valid, and drops the others. A report is
// valid for two turns of its sender.
func (c *loadReports) current(now time.Time) []Report {
	lifetime := max(minReportLifetime, 2*time.Duration(c.rounds)*reportInterval)
	var valid []Report
	for host, r := range c.reports {
		if now.Sub(r.receivedAt) > lifetime {
			delete(c.reports, host)
			continue
		}
		valid = append(valid, r)
	}
	return valid
}

// reportLoad returns the load reports that are due. Once all receivers have
// been told that this host has nothing to report, it returns none.
func (d *Detector) reportLoad(now time.Time) []Envelope {
	c := &d.loads
	if now.Sub(c.sentAt) < reportInterval {
		return nil
	}
	c.sentAt = now
	hosts, others := d.reportReceivers()
	if len(hosts) == 0 {
		return nil
	}
	c.quietRounds++
	if len(c.own)+len(c.demands) > 0 {
		c.quietRounds = 0
	}
	if c.quietRounds > max(1, c.rounds) {
		return d.quietReport(others, now)
	}
	c.number++
	m := &messenger.Gossip{
		Sender: &messenger.Member{Address: d.self.GetAddress(), Version: d.self.GetVersion()},
		Report: c.number, Running: c.own[:min(len(c.own), maxRunning)], Demands: c.demands,
	}
	fanout := min(len(hosts), ReportFanout, max(1, reportBytes/proto.Size(m)))
	c.rounds = (len(hosts) + fanout - 1) / fanout
	out := d.farReport(others, now)
	for range fanout - len(out) {
		c.next = (c.next + 1) % len(hosts)
		out = append(out, Envelope{To: hosts[c.next], Message: m})
	}
	return out
}

// reportReceivers returns the live hosts that get load reports: those of this host's data
// centre, and some of other data centres if these are fewer than ReportFanout. The others get
// none.
func (d *Detector) reportReceivers() (receivers, others []string) {
	var near, far []string
	for _, m := range d.table.Live() {
		if m.GetDatacentre() == d.self.GetDatacentre() {
			near = append(near, m.GetAddress())
		} else {
			far = append(far, m.GetAddress())
		}
	}
	added := min(max(0, ReportFanout-len(near)), len(far))
	return append(near, far[:added]...), far[added:]
}
