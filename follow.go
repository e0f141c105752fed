package citronpier

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
)

const (
	// rulesInterval is the time between two rounds in which a host that has no
	// rules requests the rules of the other hosts.
	rulesInterval = 250 * time.Millisecond
	// summaryInterval is the time between two summaries of what this host counted.
	// The daily report to the owner of the deployment is made from the summaries.
	summaryInterval = 5 * time.Second
	// queryTimeout bounds one query to another host.
	queryTimeout = 500 * time.Millisecond
)

// followLoads keeps the coordinator's loads of the upstreams up to date. Each
// host reports the loads of the upstreams that it is home of.
func (h *Host) followLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		h.coordinator.RecordLoads(h.dispatcher.Loads())
		for _, other := range h.listedPeers() {
			h.readLoads(ctx, other)
		}
		waiter.Sleep(ctx, loadsInterval)
	}
	return nil
}

// readLoads reads the loads that another host reports. It suspects the host if
// it does not answer and clears its suspicion if it does.
func (h *Host) readLoads(ctx context.Context, other descriptor.Host) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := h.settings.peers.Queries(other).Loads(ctx, &messenger.LoadsRequest{})
	if err != nil {
		h.suspect(other)
		return
	}
	h.members.clearSuspicion(other.ID, h.settings.clock())
	h.coordinator.RecordLoads(reply.GetLoads())
}

// followRules asks the other hosts for the rules in force until this host has
// rules. Usually the host reads the rules from the log, but the log may be
// unavailable when the host starts.
func (h *Host) followRules(ctx context.Context) error {
	for ctx.Err() == nil && h.publisher.Rules().Version == 0 {
		for _, other := range h.livePeers() {
			h.readRules(ctx, other)
		}
		waiter.Sleep(ctx, rulesInterval)
	}
	return nil
}

// readRules adopts the rules of another host, if it has any.
func (h *Host) readRules(ctx context.Context, other descriptor.Host) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := h.settings.peers.Queries(other).Rules(ctx, &messenger.RulesRequest{})
	if err != nil || reply.GetVersion() == 0 {
		return
	}
	if err := h.publisher.Adopt(reply.GetVersion(), reply.GetText()); err != nil {
		h.settings.logger.Warn().Err(err).Str("from", other.ID).Msg("rules of another host are not valid")
	}
}

// summarise appends a summary of what the host counted to the log, every
// summaryInterval.
func (h *Host) summarise(ctx context.Context) error {
	for {
		waiter.Sleep(ctx, summaryInterval)
		if ctx.Err() != nil {
			return nil
		}
		if err := h.commitSummary(ctx); err != nil {
			h.settings.logger.Debug().Err(err).Msg("summary was not submitted to the log")
		}
	}
}

// commitSummary submits a summary of what was counted since the last summary and
// waits until the summary is in the log or its append has failed. It does nothing
// if nothing was counted.
func (h *Host) commitSummary(ctx context.Context) error {
	s, err := h.reporter.Take(h.settings.self.ID, h.settings.wallClock())
	if err != nil || s == nil {
		return err
	}
	pending, err := h.committer.Submit(&recorder.Record{
		Optional: true, Body: &recorder.Record_Summary{Summary: s},
	})
	if err != nil {
		return err
	}
	select {
	case <-pending.Done():
	case <-ctx.Done():
	}
	return nil
}
