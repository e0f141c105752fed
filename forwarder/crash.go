package forwarder

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/sys/unix"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/watcher"
)

const (
	// confirmTime is how long a lost request waits for the list of upstreams to show that
	// its upstream has ended. An upstream that falls silent stays listed for some heartbeats.
	confirmTime = 15 * time.Second
	// aliveHeartbeats is the number of heartbeats after which an upstream has not ended
	// with the request that it lost. The list may be one heartbeat behind at the loss.
	aliveHeartbeats = 2
	// maxLosses is the number of lost requests that wait for the list.
	maxLosses = 1024
	// probeTimeout limits the time for opening a connection to an upstream that may have
	// ended.
	probeTimeout = time.Second
)

// loss is a request whose response was lost at an upstream.
type loss struct {
	fingerprint isolator.Fingerprint
	request     string
	upstream    descriptor.Upstream
	// sentAt is when the request was sent, and at when its response was lost.
	sentAt, at time.Time
}

// crash returns the id of the end of the upstream, if it has ended.
func (l loss) crash() string {
	return l.upstream.ID + "/" + strconv.FormatInt(l.upstream.Incarnation, 10)
}

// lossState tells whether the upstream of a loss has ended.
type lossState int

const (
	// lossOpen means that the list doesn't show it yet.
	lossOpen lossState = iota
	// lossCrash means that the upstream has ended.
	lossCrash
	// lossOther means that the upstream goes on, leaves as planned, or that it is not known
	// any more.
	lossOther
)

// state tells from the list of upstreams whether the upstream of a loss has ended.
func (l loss) state(list watcher.List, now time.Time) lossState {
	current, listed := list.Current(l.upstream.ID)
	switch {
	case now.Sub(l.at) > confirmTime || current.Leaving:
		return lossOther
	case !listed || current.Incarnation != l.upstream.Incarnation:
		return lossCrash
	case current.HeartbeatSequence >= l.upstream.HeartbeatSequence+aliveHeartbeats:
		return lossOther
	default:
		return lossOpen
	}
}

// lossQueue holds the losses that wait for the list of upstreams. The zero value is empty.
type lossQueue struct {
	mu      sync.Mutex
	waiting []loss
	// probes joins the probes of one upstream by the requests that it lost together.
	probes singleflight.Group
}

// add adds a loss. If the queue is full, the oldest one is dropped.
func (q *lossQueue) add(l loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, l)
	if len(q.waiting) > maxLosses {
		q.waiting = q.waiting[1:]
	}
}

// takeCrashes removes the losses that the list decides, and returns those at upstreams that
// have ended.
func (q *lossQueue) takeCrashes(list watcher.List, now time.Time) []loss {
	q.mu.Lock()
	defer q.mu.Unlock()
	var crashed, open []loss
	for _, l := range q.waiting {
		switch l.state(list, now) {
		case lossCrash:
			crashed = append(crashed, l)
		case lossOpen:
			open = append(open, l)
		}
	}
	q.waiting = open
	return crashed
}

// ConfirmCrashes counts the crashes that the list of upstreams shows. It is to be called
// about once a second.
func (f *Forwarder) ConfirmCrashes(now time.Time) {
	list, ok := f.config.Upstreams()
	if !ok {
		return
	}
	for _, l := range f.losses.takeCrashes(list, now) {
		f.suspect(l, now)
	}
}

// examineLoss finds out, in the background, whether an upstream has ended while it ran the
// request, given the error with which the response was lost. If the connection failed and
// nothing listens at the upstream's address any more, it has. Otherwise the list of upstreams
// will tell.
func (e *exchange) examineLoss(ctx context.Context, u descriptor.Upstream, err error, now time.Time) {
	var incomplete *exchanger.IncompleteError
	if !errors.As(err, &incomplete) || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	l := loss{fingerprint: e.fingerprint, request: e.request.ID, upstream: u, sentAt: e.inFlight.sentAt, at: now}
	if !exchanger.ConnectionFailed(err) {
		e.losses.add(l)
		return
	}
	go func() {
		if e.refusesConnections(u, l.crash()) {
			e.suspect(l, time.Now())
		} else {
			e.losses.add(l)
		}
	}()
}

// refusesConnections reports whether nothing listens at an upstream's address any more.
func (f *Forwarder) refusesConnections(u descriptor.Upstream, crash string) bool {
	_, err, _ := f.losses.probes.Do(crash, func() (any, error) {
		ctx, cancel := context.WithTimeout(f.config.Background, probeTimeout)
		defer cancel()
		return nil, f.config.Exchanger.Probe(ctx, u)
	})
	return errors.Is(err, unix.ECONNREFUSED)
}

// suspect counts that an upstream has ended while it ran a request, and tells other hosts.
func (f *Forwarder) suspect(l loss, now time.Time) {
	report, isNew := f.config.Isolator.Learn(isolator.Report{
		Fingerprint: l.fingerprint, Crash: l.crash(), Ran: l.at.Sub(l.sentAt), Ago: now.Sub(l.at),
	}, now)
	if !isNew || report.Withdrawn {
		return
	}
	f.config.Counters.Crash(counter.CrashSuspected)
	f.config.Logger.Info().Str("id", l.request).Str("fingerprint", string(l.fingerprint)).Str("upstream", l.upstream.ID).
		Int64("born", l.upstream.Incarnation).Dur("after_ms", now.Sub(l.at)).Msg("upstream ended while it ran the request")
	f.config.ReportCrash(report)
}

// clearSuspicion records that an upstream answered a request, and tells other hosts if
// the request was suspected.
func (f *Forwarder) clearSuspicion(l isolator.Fingerprint, now time.Time) {
	for _, report := range f.config.Isolator.Answered(l, now) {
		f.config.Counters.Crash(counter.CrashWithdrawn)
		f.config.ReportCrash(report)
	}
}

// quarantined returns the outcome of a request that must not be sent to an upstream because
// upstreams ended while they ran it, and nil otherwise.
func (e *exchange) quarantined(now time.Time) Outcome {
	verdict, ok := e.config.Isolator.Verdict(e.fingerprint, now).(isolator.Refused)
	if !ok {
		return nil
	}
	if e.mayHaveRun {
		return refused(refuser.New(refuser.Lost, "the answer was lost, and the request has crashed %d upstreams", verdict.Crashes).
			WithRun(descriptor.RunUnknown))
	}
	return refused(refuser.New(refuser.Quarantine, "the request has crashed %d upstreams", verdict.Crashes).
		WithRetry(verdict.Until.Sub(now)))
}
