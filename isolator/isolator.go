package isolator

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citronpier/citronpier/recorder"
)

// Policy sets when a request is refused.
type Policy struct {
	// Crashes is the number of crashes, one after the other, after which a request is
	// refused; 0 counts as 1.
	Crashes int
	// Overlapping is the number of crashes that count as one if the request ran at these
	// upstreams at the same time, as they may have ended together for another reason; 0
	// counts as 1.
	Overlapping int
	// Quarantine is how long a crash counts after it was seen; 0 means until the request
	// is answered.
	Quarantine time.Duration
}

const (
	// maxSuspects is the number of requests whose crashes are kept.
	maxSuspects = 4096
	// maxAnswered is the number of answered requests that are kept, and answeredAge how long
	// an answered request is above suspicion: requests of equal content, such as polls of
	// one status, are under way at many upstreams, which may end together.
	maxAnswered = 4096
	answeredAge = time.Minute
)

// Report states that an upstream ended while it ran a request. Of reports of one fingerprint
// and one crash the first counts, and a withdrawn one replaces the others, so that hosts can
// exchange them in any order.
type Report struct {
	Fingerprint Fingerprint
	// Crash identifies the end of one upstream. Requests that it ran together have
	// reports of the same crash.
	Crash string
	// Ran is how long the request had run when its response was lost, and Ago how long ago
	// that was.
	Ran, Ago time.Duration
	// Withdrawn is true once the request turned out not to have caused the crash.
	Withdrawn bool
}

// Verdict tells whether and how a request may run: Clear, Suspect or Refused.
type Verdict interface{ verdict() }

// Clear means that no crash is known for the request.
type Clear struct{}

// Suspect means that upstreams ended while they ran the request, but too few to refuse it.
// No other suspect should run on the same upstream at the same time.
type Suspect struct{}

// Refused means that the request crashed upstreams repeatedly and must not run again.
type Refused struct {
	// Crashes is the number of counted crashes.
	Crashes int
	// Until is when the verdict lapses. It is zero if it doesn't.
	Until time.Time
}

func (Clear) verdict()   {}
func (Suspect) verdict() {}
func (Refused) verdict() {}

// An Isolator counts the crashes that each request caused. It is safe for concurrent use.
type Isolator struct {
	policy Policy

	mu sync.Mutex
	// suspects holds, for each fingerprint, the crashes at which the request ran.
	suspects *lru.Cache[Fingerprint, map[string]sighting]
	// answered has when each request was last answered.
	answered *lru.Cache[Fingerprint, time.Time]
}

// sighting is what is known of one request at one crash.
type sighting struct {
	// beganAt is when the upstream was sent the request, and endedAt when the response was
	// lost.
	beganAt, endedAt time.Time
	withdrawn        bool
}

// New returns an Isolator without recorded crashes.
func New(p Policy) *Isolator {
	suspects, err := lru.New[Fingerprint, map[string]sighting](maxSuspects)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	answered, err := lru.New[Fingerprint, time.Time](maxAnswered)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Isolator{policy: p, suspects: suspects, answered: answered}
}

// Verdict returns the verdict on the request with fingerprint f.
func (i *Isolator) Verdict(f Fingerprint, now time.Time) Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	crashes := i.counted(f, now)
	if len(crashes) == 0 {
		return Clear{}
	}
	caused := i.caused(f, crashes, now)
	if max(successive(caused), len(caused)/max(1, i.policy.Overlapping)) < max(1, i.policy.Crashes) {
		return Suspect{}
	}
	verdict := Refused{Crashes: len(caused)}
	if i.policy.Quarantine > 0 {
		verdict.Until = caused[len(caused)-1].endedAt.Add(i.policy.Quarantine)
	}
	return verdict
}

// caused returns those of the counted crashes of a request that no other request explains, the
// latest last. The caller must hold mu.
func (i *Isolator) caused(f Fingerprint, crashes map[string]sighting, now time.Time) []sighting {
	var caused []sighting
	for crash, s := range crashes {
		if !i.explained(f, crash, len(crashes), now) {
			caused = append(caused, s)
		}
	}
	slices.SortFunc(caused, func(a, b sighting) int { return a.endedAt.Compare(b.endedAt) })
	return caused
}

// successive returns the largest number of crashes, which are sorted by their end, of which
// each began after the one before had ended.
func successive(crashes []sighting) int {
	count := 0
	var last time.Time
	for _, s := range crashes {
		if count == 0 || s.beganAt.After(last) {
			count++
			last = s.endedAt
		}
	}
	return count
}

// counted returns the crashes of a request that are not withdrawn and have not lapsed. The
// caller must hold mu.
func (i *Isolator) counted(f Fingerprint, now time.Time) map[string]sighting {
	all, ok := i.suspects.Peek(f)
	if !ok {
		return nil
	}
	counted := make(map[string]sighting, len(all))
	for crash, s := range all {
		if !s.withdrawn && !i.lapsed(s, now) {
			counted[crash] = s
		}
	}
	return counted
}

// lapsed reports whether a crash is too long ago to count.
func (i *Isolator) lapsed(s sighting, now time.Time) bool {
	return i.policy.Quarantine > 0 && now.Sub(s.endedAt) > i.policy.Quarantine
}

// explained reports whether another request that ran at a crash has more crashes than f,
// which ran at the given number of crashes: then that request caused the crash. The caller
// must hold mu.
func (i *Isolator) explained(f Fingerprint, crash string, crashes int, now time.Time) bool {
	for _, other := range i.suspects.Keys() {
		if other == f {
			continue
		}
		others, _ := i.suspects.Peek(other)
		if s, ran := others[crash]; !ran || s.withdrawn || len(others) <= crashes {
			continue
		}
		if len(i.counted(other, now)) > crashes {
			return true
		}
	}
	return false
}

// Learn records a report, of this host or another one, and returns the report to tell other
// hosts: the same, or its withdrawal if the request is above suspicion here. It returns
// false if this is known.
func (i *Isolator) Learn(r Report, now time.Time) (Report, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if answeredAt, ok := i.answered.Peek(r.Fingerprint); ok && now.Sub(answeredAt) < answeredAge {
		r.Withdrawn = true
	}
	return r, i.record(r, now)
}

// record records a report. It returns false if the report is known. The caller must hold mu.
func (i *Isolator) record(r Report, now time.Time) bool {
	crashes, ok := i.suspects.Get(r.Fingerprint)
	if !ok {
		crashes = make(map[string]sighting)
		i.suspects.Add(r.Fingerprint, crashes)
	}
	known, ok := crashes[r.Crash]
	if ok && (known.withdrawn || !r.Withdrawn) {
		return false
	}
	if !ok {
		known.endedAt = now.Add(-r.Ago)
		known.beganAt = known.endedAt.Add(-r.Ran)
	}
	known.withdrawn = r.Withdrawn
	crashes[r.Crash] = known
	return true
}

// Answered records that an upstream answered a request, which therefore crashes no
// upstreams. It returns the reports that this withdraws, for other hosts.
func (i *Isolator) Answered(f Fingerprint, now time.Time) []Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.answered.Add(f, now)
	var withdrawn []Report
	for crash := range i.counted(f, now) {
		r := Report{Fingerprint: f, Crash: crash, Withdrawn: true}
		i.record(r, now)
		withdrawn = append(withdrawn, r)
	}
	return withdrawn
}

// Reports returns the reports that have not lapsed, withdrawn ones too, of at most the given
// number of requests.
func (i *Isolator) Reports(most int, now time.Time) []Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	var reports []Report
	fingerprints := i.suspects.Keys()
	for _, f := range fingerprints[max(0, len(fingerprints)-most):] {
		reports = append(reports, i.reportsOf(f, now)...)
	}
	return reports
}

// ReportsOf returns the reports of one request that have not lapsed, withdrawn ones too.
func (i *Isolator) ReportsOf(f Fingerprint, now time.Time) []Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reportsOf(f, now)
}

// reportsOf implements ReportsOf. The caller must hold mu.
func (i *Isolator) reportsOf(f Fingerprint, now time.Time) []Report {
	var reports []Report
	crashes, _ := i.suspects.Peek(f)
	for crash, s := range crashes {
		if i.lapsed(s, now) {
			continue
		}
		reports = append(reports, Report{
			Fingerprint: f, Crash: crash, Ran: s.endedAt.Sub(s.beganAt), Ago: now.Sub(s.endedAt), Withdrawn: s.withdrawn,
		})
	}
	return reports
}

// RecordCrash records that an upstream crashed while an attempt of a request was in
// flight. Repeated reports of the same attempt count once. After the first crash,
// another crash counts only if the request ran alone, as the only suspect on that
// upstream. Without this rule a harmless request could be refused: programs often
// send the same request several times, and upstreams may crash together for
// another reason.
func (i *Isolator) RecordCrash(f Fingerprint, attempt string, alone bool) {
	if _, unsuspected := i.Verdict(f, time.Time{}).(Clear); !unsuspected && !alone {
		return
	}
	i.Learn(Report{Fingerprint: f, Crash: attempt}, time.Time{})
}

// Apply records the crash that a Poison record of the log reports, and ignores
// other records. The log's replica on each host calls it for every record, so that
// a request which crashed upstreams is refused on every host.
func (i *Isolator) Apply(_ int64, record *recorder.Record) {
	if p := record.GetPoison(); p != nil {
		i.RecordCrash(Fingerprint(p.GetFingerprint()), p.GetAttempt(), p.GetAlone())
	}
}

// Prune does nothing when the log is trimmed: maxSuspects bounds the recorded crashes
// instead.
func (i *Isolator) Prune(int64) {}
