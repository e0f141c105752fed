package citronpier

import (
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/messenger"
)

// crashPolicy sets when a request is refused that crashes its upstreams. Upstreams run many
// requests at a time, and two crashes of them may be met by chance.
var crashPolicy = isolator.Policy{Crashes: 3, Overlapping: 2, Quarantine: 10 * time.Minute}

// maxReportedRequests is the number of suspected requests whose crashes a starting host is
// told.
const maxReportedRequests = 256

// crashStore is the isolator as the gossiper sees it. It implements gossiper.CrashStore.
type crashStore struct {
	isolator *isolator.Isolator
	counters *counter.Set
}

func (s crashStore) Learn(c *messenger.Crash, now time.Time) (*messenger.Crash, bool) {
	report, isNew := s.isolator.Learn(isolator.Report{
		Fingerprint: isolator.Fingerprint(c.GetFingerprint()), Crash: c.GetCrash(), Withdrawn: c.GetWithdrawn(),
		Ran: time.Duration(c.GetRan()) * time.Millisecond, Ago: time.Duration(c.GetAgo()) * time.Millisecond,
	}, now)
	if isNew {
		s.counters.Crash(counter.CrashLearned)
	}
	return crashMessage(report), isNew
}

func (s crashStore) Known(now time.Time) []*messenger.Crash {
	var known []*messenger.Crash
	for _, r := range s.isolator.Reports(maxReportedRequests, now) {
		known = append(known, crashMessage(r))
	}
	return known
}

// crashMessage returns a report as hosts exchange it.
func crashMessage(r isolator.Report) *messenger.Crash {
	return &messenger.Crash{Fingerprint: string(r.Fingerprint), Crash: r.Crash, Withdrawn: r.Withdrawn, Ran: r.Ran.Milliseconds(), Ago: r.Ago.Milliseconds()}
}

// reportCrash tells other hosts of a report of this host.
func (e *Entry) reportCrash(r isolator.Report) { e.gossiper.ReportCrash(crashMessage(r), time.Now()) }
