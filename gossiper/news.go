package gossiper

import (
	"time"

	"github.com/citronpier/citronpier/messenger"
)

const (
	// newsInterval is the minimum time between two rounds of news.
	newsInterval = 25 * time.Millisecond
	// newsFanout is the number of hosts to which a round of news goes, maxNewsFanout the
	// number while much is to be spread, as when many hosts start or a data centre is cut
	// off. One more host is added for each statesPerHost states that wait.
	newsFanout    = 3
	maxNewsFanout = 12
	statesPerHost = 16
	// maxMembersBytes bounds the encoded states of hosts in a datagram, so that it is
	// not fragmented.
	maxMembersBytes = 1100
	// configRounds is the number of rounds in which a host tells others that it has a
	// newer configuration. Those that read it then tell others in turn.
	configRounds = 2
)

// Flush returns a round of news, if there is any and the last round is old enough.
func (d *Detector) Flush(now time.Time) []Envelope {
	waiting := d.news.len() + d.crashes.len()
	if (waiting == 0 && d.newsRounds == 0) || now.Sub(d.newsSentAt) < newsInterval {
		return nil
	}
	d.newsSentAt = now
	d.newsRounds = max(0, d.newsRounds-1)
	var out []Envelope
	for _, address := range d.pickLive(min(maxNewsFanout, newsFanout+waiting/statesPerHost), "") {
		m := d.message(messenger.Gossip_NEWS)
		m.Members = d.news.take(maxMembersBytes)
		m.Crashes = d.crashes.take(maxCrashBytes)
		out = append(out, Envelope{To: address, Message: m})
	}
	return out
}
