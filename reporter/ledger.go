package reporter

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronpier/citronpier/recorder"
)

// minuteSummary is what all hosts reported of one minute.
type minuteSummary struct {
	offset   int64
	kinds    map[string]*kindTotal
	refusals map[string]int64
	lost     []*recorder.Lost
}

// kindTotal counts the finished programs of one kind.
type kindTotal struct {
	rank     string
	finished int64
	within   int64
	latency  *hdrhistogram.Histogram
}

func newKindTotal(rank string) *kindTotal {
	return &kindTotal{rank: rank, latency: hdrhistogram.New(lowestMillis, highestMillis, digits)}
}

func (k *kindTotal) add(rank string, finished, within int64, latency *hdrhistogram.Histogram) {
	k.rank = rank
	k.finished += finished
	k.within += within
	if latency != nil {
		k.latency.Merge(latency)
	}
}

// Ledger holds the summaries that the log's records give, by minute. The zero
// value is empty. It is read under the lock of the replica that fills it.
type Ledger struct {
	minutes map[int64]*minuteSummary
}

// Apply applies a record at its log offset, if it is a summary.
func (l *Ledger) Apply(offset int64, record *recorder.Record) {
	s := record.GetSummary()
	if s == nil {
		return
	}
	m := l.minute(s.GetMinute())
	m.offset = offset
	for _, k := range s.GetKinds() {
		m.kind(k.GetKind()).add(k.GetRank(), k.GetFinished(), k.GetWithin(), decode(k.GetHistogram()))
	}
	for reason, n := range s.GetRefusals() {
		m.refusals[reason] += n
	}
	m.lost = append(m.lost, s.GetLost()...)
}

// decode returns nil for a histogram that can't be read; its counts remain.
func decode(encoded []byte) *hdrhistogram.Histogram {
	h, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return nil
	}
	return h
}

// Prune drops the minutes whose records the log no longer keeps.
func (l *Ledger) Prune(first int64) {
	for minute, m := range l.minutes {
		if m.offset < first {
			delete(l.minutes, minute)
		}
	}
}

// between returns the minutes from one time to another, in order.
func (l *Ledger) between(from, to time.Time) []*minuteSummary {
	var found []*minuteSummary
	for _, minute := range slices.Sorted(maps.Keys(l.minutes)) {
		if minute >= from.Unix()/60 && minute <= to.Unix()/60 {
			found = append(found, l.minutes[minute])
		}
	}
	return found
}

func (l *Ledger) minute(number int64) *minuteSummary {
	if l.minutes == nil {
		l.minutes = make(map[int64]*minuteSummary)
	}
	m, ok := l.minutes[number]
	if !ok {
		m = &minuteSummary{kinds: make(map[string]*kindTotal), refusals: make(map[string]int64)}
		l.minutes[number] = m
	}
	return m
}

func (m *minuteSummary) kind(name string) *kindTotal {
	k, ok := m.kinds[name]
	if !ok {
		k = newKindTotal("")
		m.kinds[name] = k
	}
	return k
}
