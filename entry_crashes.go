package citronpier

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/internal/waiter"
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

func (e *Entry) crashStore() crashStore { return crashStore{e.isolator, &e.counters} }

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

// confirmInterval is the time between two looks at the list of upstreams for those that have
// ended. It is a part of the time in which the list is read again.
const confirmInterval = 250 * time.Millisecond

// confirmCrashes counts the crashes that the list of upstreams shows, until ctx ends.
func (e *Entry) confirmCrashes(ctx context.Context) error {
	for ctx.Err() == nil {
		e.forwarder.ConfirmCrashes(time.Now())
		waiter.Sleep(ctx, confirmInterval)
	}
	return nil
}

// crashMessage returns a report as hosts exchange it.
func crashMessage(r isolator.Report) *messenger.Crash {
	return &messenger.Crash{Fingerprint: string(r.Fingerprint), Crash: r.Crash, Withdrawn: r.Withdrawn, Ran: r.Ran.Milliseconds(), Ago: r.Ago.Milliseconds()}
}

// reportCrash tells other hosts of a report of this host. If the report is the one after which
// the request is refused, it is also recorded, for the case that all hosts die.
func (e *Entry) reportCrash(r isolator.Report) {
	now := time.Now()
	e.gossiper.ReportCrash(crashMessage(r), now)
	if _, refused := e.isolator.Verdict(r.Fingerprint, now).(isolator.Refused); refused {
		go e.retry(e.background, func(ctx context.Context) error { return e.recordQuarantine(ctx, r.Fingerprint) })
	}
}

// recordQuarantine records in the store that a request is refused.
func (e *Entry) recordQuarantine(ctx context.Context, f isolator.Fingerprint) error {
	now := time.Now()
	record := &messenger.Quarantine{Written: now.UnixMilli()}
	for _, r := range e.isolator.ReportsOf(f, now) {
		record.Crashes = append(record.Crashes, crashMessage(r))
	}
	value, err := proto.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode quarantine: %w", err)
	}
	_, err = e.relayer.Append(ctx, e.config.Quarantines, [][]byte{e.config.Codec.EncodeKeyed(string(f), value)}, connector.AnyEnd)
	return err
}

// readQuarantines learns the requests that were refused before this host started, and
// deletes the records of those whose quarantine is over.
func (e *Entry) readQuarantines(ctx context.Context) error {
	newest, err := e.relayer.Newest(ctx, e.config.Quarantines)
	if err != nil {
		return err
	}
	now := time.Now()
	var lapsed [][]byte
	for _, item := range newest.Items {
		var record messenger.Quarantine
		if err := proto.Unmarshal(item.Value, &record); err != nil {
			e.config.Logger.Warn().Err(err).Str("fingerprint", item.Key).Msg("ignoring malformed quarantine")
			continue
		}
		age := now.Sub(time.UnixMilli(record.GetWritten()))
		if age > crashPolicy.Quarantine {
			lapsed = append(lapsed, e.config.Codec.EncodeKeyed(item.Key, nil))
			continue
		}
		for _, c := range record.GetCrashes() {
			c.Ago += max(0, age.Milliseconds())
			e.crashStore().Learn(c, now)
		}
	}
	if len(lapsed) > 0 {
		_, err = e.relayer.Append(ctx, e.config.Quarantines, lapsed, connector.AnyEnd)
	}
	return err
}
