package reporter

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronpier/citronpier/recorder"
)

// minuteSummary sums the summaries that all hosts reported for one minute. The
// offset is the log offset of the latest record that was added.
type minuteSummary struct {
	offset   int64
	kinds    map[string]*kindTotal
	refusals map[string]int64
	lost     []*recorder.Lost
}

// kindTotal sums the finished programs of one kind. Programs that finished within
// the kind's latency target are counted both in finished and in within.
type kindTotal struct {
	rank     string
	finished int64
	within   int64
	// latency holds the durations of the programs from start to end, in milliseconds.
	latency *hdrhistogram.Histogram
}

func newKindTotal(rank string) *kindTotal {
	return &kindTotal{rank: rank, latency: hdrhistogram.New(lowestMillis, highestMillis, significantDigits)}
}

// add adds counts and a histogram, which may be nil, and replaces the rank.
func (k *kindTotal) add(rank string, finished, within int64, latency *hdrhistogram.Histogram) {
	k.rank = rank
	k.finished += finished
	k.within += within
	if latency != nil {
		k.latency.Merge(latency)
	}
}

// Ledger sums the summary records of the log by minute. It is a replay hook without
// a lock of its own: reads must hold the lock of the replica that applies the
// records. The zero value is empty and ready for use.
type Ledger struct {
	// minutes is indexed by minutes since the Unix epoch.
	minutes map[int64]*minuteSummary
}

// Apply adds a summary record at its log offset. It ignores records of other types.
func (l *Ledger) Apply(offset int64, record *recorder.Record) {
	s := record.GetSummary()
	if s == nil {
		return
	}
	m := l.minute(s.GetMinute())
	m.offset = offset
	for _, k := range s.GetKinds() {
		m.kind(k.GetKind()).add(k.GetRank(), k.GetFinished(), k.GetWithin(), decodeHistogram(k.GetHistogram()))
	}
	for reason, n := range s.GetRefusals() {
		m.refusals[reason] += n
	}
	m.lost = append(m.lost, s.GetLost()...)
}

// decodeHistogram decodes a histogram. It returns nil for data that can't be
// decoded; the other counts in the summary are nevertheless used.
func decodeHistogram(encoded []byte) *hdrhistogram.Histogram {
	h, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return nil
	}
	return h
}

// Prune drops the minutes whose latest record is before first, the first offset
// that the log still retains.
func (l *Ledger) Prune(first int64) {
	for minute, m := range l.minutes {
		if m.offset < first {
			delete(l.minutes, minute)
		}
	}
}

// minutesBetween returns the minutes from one time to another in order, including
// the minutes that the two times fall in.
func (l *Ledger) minutesBetween(from, to time.Time) []*minuteSummary {
	var found []*minuteSummary
	for _, minute := range slices.Sorted(maps.Keys(l.minutes)) {
		if minute >= from.Unix()/60 && minute <= to.Unix()/60 {
			found = append(found, l.minutes[minute])
		}
	}
	return found
}

// minute returns the entry for a minute, and creates it if there is none.
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

// kind returns the total for a program kind, and creates it if there is none.
func (m *minuteSummary) kind(name string) *kindTotal {
	k, ok := m.kinds[name]
	if !ok {
		k = newKindTotal("")
		m.kinds[name] = k
	}
	return k
}
