package reporter

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// The range and precision of the latency histograms, in milliseconds. Values out
	// of range are counted at the nearest bound.
	lowestMillis      = 1
	highestMillis     = int64(24 * time.Hour / time.Millisecond)
	significantDigits = 2
	// maxLost is the maximum number of lost calls in one summary.
	maxLost = 64
)

// A Reporter counts the finished programs, refusals and lost calls of one host
// since the host's last summary. The zero value is ready for use.
type Reporter struct {
	mu       sync.Mutex
	kinds    map[string]*tally
	refusals map[string]int64
	lost     []*recorder.Lost
}

// tally counts the finished programs of one kind.
type tally struct {
	rank     descriptor.Rank
	finished int64
	// within counts the programs that met the kind's latency target.
	within int64
	// latency holds the durations of the programs, in milliseconds.
	latency *hdrhistogram.Histogram
}

// Finished counts a finished program. The latency is the time from its start to its
// end.
func (r *Reporter) Finished(kind parser.Kind, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallyOf(kind)
	t.finished++
	if kind.Within > 0 && latency <= kind.Within {
		t.within++
	}
	_ = t.latency.RecordValue(min(highestMillis, max(lowestMillis, latency.Milliseconds())))
}

// tallyOf returns the tally of a kind, and creates it if there is none.
func (r *Reporter) tallyOf(kind parser.Kind) *tally {
	if r.kinds == nil {
		r.kinds = make(map[string]*tally)
	}
	t, ok := r.kinds[kind.Name]
	if !ok {
		t = &tally{rank: kind.Rank, latency: hdrhistogram.New(lowestMillis, highestMillis, significantDigits)}
		r.kinds[kind.Name] = t
	}
	return t
}

// CountRefused counts a refused call.
func (r *Reporter) CountRefused(reason refuser.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals == nil {
		r.refusals = make(map[string]int64)
	}
	r.refusals[string(reason)]++
}

// Lost records a call whose outcome is unknown, by its idempotency key. If
// maxLost calls were already recorded since the last summary, Lost does nothing.
func (r *Reporter) Lost(key, service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lost) < maxLost {
		r.lost = append(r.lost, &recorder.Lost{Key: key, Service: service, Time: now.UnixMilli()})
	}
}

// Take returns a summary of the counts and resets them. The summary is nil if nothing
// was counted. After an error the counts remain.
func (r *Reporter) Take(host string, now time.Time) (*recorder.Summary, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, err := r.summary(host, now)
	if err != nil {
		return nil, err
	}
	r.kinds, r.refusals, r.lost = nil, nil, nil
	return s, nil
}

// Peek returns a summary of the counts without resetting them. It returns nil if
// nothing was counted or if the counts can't be encoded.
func (r *Reporter) Peek(host string, now time.Time) *recorder.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, err := r.summary(host, now)
	if err != nil {
		return nil
	}
	return s
}

// summary encodes the counts as a summary of the current minute. It returns nil if
// nothing was counted. The caller holds mu.
func (r *Reporter) summary(host string, now time.Time) (*recorder.Summary, error) {
	if len(r.kinds) == 0 && len(r.refusals) == 0 && len(r.lost) == 0 {
		return nil, nil
	}
	s := &recorder.Summary{
		Host: host, Minute: now.Unix() / 60,
		Refusals: maps.Clone(r.refusals), Lost: slices.Clone(r.lost),
	}
	for name, t := range r.kinds {
		encoded, err := t.latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, fmt.Errorf("encode histogram of kind %s: %w", name, err)
		}
		s.Kinds = append(s.Kinds, &recorder.KindSummary{
			Kind: name, Rank: t.rank.String(), Finished: t.finished, Within: t.within, Histogram: encoded,
		})
	}
	return s, nil
}
