package gossiper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/messenger"
)

// Receive handles a datagram of another host and returns the answers.
func (d *Detector) Receive(m *messenger.Gossip, now time.Time) []Envelope {
	if isDataCentreReport(m) {
		d.far.store(m)
		return nil
	}
	sender := m.GetSender()
	if sender.GetAddress() == "" || sender.GetAddress() == d.self.GetAddress() {
		return nil
	}
	if m.GetReport() > 0 {
		d.loads.store(m, now)
		return nil
	}
	d.configs[sender.GetAddress()] = m.GetConfig()
	d.newestConfig = max(d.newestConfig, m.GetConfig())
	d.apply(d.refuteOwn(append(m.GetMembers(), sender)), now)
	d.learnCrashes(m.GetCrashes(), now)
	out := d.correct(sender)
	switch m.GetKind() {
	case messenger.Gossip_PING:
		out = append(out, d.answer(m, now)...)
	case messenger.Gossip_INDIRECT:
		ping := d.message(messenger.Gossip_PING)
		ping.Probe, ping.Origin = m.GetProbe(), sender.GetAddress()
		out = append(out, Envelope{To: m.GetTarget(), Message: ping})
	case messenger.Gossip_ACK:
		out = append(out, d.handleAck(m)...)
	case messenger.Gossip_NEWS:
		if m.GetJoin() && !d.joined {
			d.joined = true
			d.pulls++
		}
	}
	return append(out, d.Flush(now)...)
}

// refuteOwn returns the states of other hosts. If one of the states describes this
// host and is wrong or from an earlier run, this host raises its version above it.
func (d *Detector) refuteOwn(members []*messenger.Member) []*messenger.Member {
	var others []*messenger.Member
	for _, m := range members {
		if m.GetAddress() != d.self.GetAddress() {
			others = append(others, m)
			continue
		}
		wrong := m.GetStatus() != messenger.Status_ALIVE || m.GetIncarnation() != d.self.GetIncarnation()
		if m.GetVersion() >= d.self.GetVersion() && wrong {
			d.raise(proto.CloneOf(d.self), m.GetVersion())
		}
	}
	return others
}

// correct tells the sender of a datagram what this host knows of it, if it is not what
// the sender says of itself: the host was suspected or declared dead, or it has
// restarted with a lower version.
func (d *Detector) correct(sender *messenger.Member) []Envelope {
	known := d.table.Peer(sender.GetAddress()).Member
	if known.GetStatus() == messenger.Status_ALIVE && known.GetIncarnation() == sender.GetIncarnation() {
		return nil
	}
	return d.inform(sender.GetAddress())
}

// answer returns the answer to a ping. A host that joins also gets the state of all
// members and all reports of crashes.
func (d *Detector) answer(ping *messenger.Gossip, now time.Time) []Envelope {
	to := ping.GetSender().GetAddress()
	ack := d.message(messenger.Gossip_ACK)
	ack.Probe, ack.Origin = ping.GetProbe(), ping.GetOrigin()
	ack.Members = d.news.take(maxMembersBytes)
	ack.Crashes = d.crashes.take(maxCrashBytes)
	out := []Envelope{{To: to, Message: ack}}
	if ping.GetJoin() {
		out = append(out, d.allMembers(to)...)
		out = append(out, d.allCrashes(to, now)...)
	}
	return out
}

// allMembers returns the states of all live hosts, in as many datagrams as they need.
func (d *Detector) allMembers(to string) []Envelope {
	var out []Envelope
	m := d.message(messenger.Gossip_NEWS)
	m.Join = true
	size := 0
	for _, member := range d.table.Live() {
		size += proto.Size(member)
		if size > maxMembersBytes {
			out = append(out, Envelope{To: to, Message: m})
			m = d.message(messenger.Gossip_NEWS)
			m.Join = true
			size = proto.Size(member)
		}
		m.Members = append(m.Members, member)
	}
	return append(out, Envelope{To: to, Message: m})
}

// handleAck ends the probe that is answered. An answer to a ping in the name of
// another host is passed on to that host.
func (d *Detector) handleAck(ack *messenger.Gossip) []Envelope {
	if origin := ack.GetOrigin(); origin != "" && origin != d.self.GetAddress() {
		m := d.message(messenger.Gossip_ACK)
		m.Probe, m.Target = ack.GetProbe(), ack.GetSender().GetAddress()
		m.Members = []*messenger.Member{ack.GetSender()}
		return []Envelope{{To: origin, Message: m}}
	}
	answered := ack.GetTarget()
	if answered == "" {
		answered = ack.GetSender().GetAddress()
	}
	if p, ok := d.probes[ack.GetProbe()]; ok && p.target == answered {
		delete(d.probes, ack.GetProbe())
	}
	return nil
}
