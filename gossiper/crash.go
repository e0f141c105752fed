package gossiper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/messenger"
)

// CrashStore keeps the reports of requests that upstreams ran when they ended.
type CrashStore interface {
	// Learn keeps a report of another host, and returns what to tell other hosts: the report,
	// or that it is withdrawn. It returns false if this is known.
	Learn(c *messenger.Crash, now time.Time) (*messenger.Crash, bool)
	// Known returns the reports that have not lapsed, withdrawn ones too.
	Known(now time.Time) []*messenger.Crash
}

// maxCrashBytes bounds the encoded reports in a datagram that has states of hosts too.
const maxCrashBytes = 200

// keepCrashes makes a Detector exchange the reports in a store with other hosts.
func (d *Detector) keepCrashes(s CrashStore) { d.crashStore = s }

// ReportCrash makes a report of this host news.
func (d *Detector) ReportCrash(c *messenger.Crash) {
	d.crashes.add(c.GetFingerprint()+" "+c.GetCrash(), c, d.table.Len())
}

// learnCrashes keeps reports of other hosts and passes on those that are new.
func (d *Detector) learnCrashes(reports []*messenger.Crash, now time.Time) {
	if d.crashStore == nil {
		return
	}
	for _, c := range reports {
		if news, ok := d.crashStore.Learn(c, now); ok {
			d.ReportCrash(news)
		}
	}
}

// knownCrashes returns the reports that this host keeps.
func (d *Detector) knownCrashes(now time.Time) []*messenger.Crash {
	if d.crashStore == nil {
		return nil
	}
	return d.crashStore.Known(now)
}

// sampleCrashes returns reports that are news, or one random known report, for a datagram
// that is sent anyway, so that a host that missed a report gets it all the same.
func (d *Detector) sampleCrashes(now time.Time) []*messenger.Crash {
	if d.crashes.len() > 0 {
		return d.crashes.take(maxCrashBytes)
	}
	known := d.knownCrashes(now)
	if len(known) == 0 {
		return nil
	}
	return []*messenger.Crash{known[d.random.IntN(len(known))]}
}

// allCrashes returns all known reports, in as many datagrams as they need.
func (d *Detector) allCrashes(to string, now time.Time) []Envelope {
	var out []Envelope
	var m *messenger.Gossip
	size := 0
	for _, c := range d.knownCrashes(now) {
		size += proto.Size(c)
		if m == nil || size > maxMembersBytes {
			m = d.message(messenger.Gossip_NEWS)
			out = append(out, Envelope{To: to, Message: m})
			size = proto.Size(c)
		}
		m.Crashes = append(m.Crashes, c)
	}
	return out
}
