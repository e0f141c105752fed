package forwarder

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/isolator"
)

// probeTimeout limits the time for opening a connection to an upstream that may have ended.
const probeTimeout = time.Second

// ConfirmCrashes counts the crashes that the list of upstreams shows. It is to be called
// some times a second.
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

// clearSuspicion records that an upstream ran a request and answered it, and tells other hosts
// if the request was suspected.
func (f *Forwarder) clearSuspicion(fingerprint isolator.Fingerprint, now time.Time) {
	for _, report := range f.config.Isolator.Answered(fingerprint, now) {
		f.config.Counters.Crash(counter.CrashWithdrawn)
		f.config.ReportCrash(report)
	}
}
