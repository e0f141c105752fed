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
	// rulesEvery is the time between two questions to other hosts for rules,
	// while there are none.
	rulesEvery = 250 * time.Millisecond
	// summaryEvery is the time between two summaries for the owner's page.
	summaryEvery = 5 * time.Second
	// queryBudget bounds one question to another host.
	queryBudget = 500 * time.Millisecond
)

// followLoads keeps the loads of the upstreams up to date.
func (h *Host) followLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		h.coordinator.Observe(h.dispatcher.Loads())
		for _, other := range h.listed() {
			h.readLoads(ctx, other)
		}
		waiter.Sleep(ctx, loadEvery)
	}
	return nil
}

func (h *Host) readLoads(ctx context.Context, other descriptor.Host) {
	ctx, cancel := context.WithTimeout(ctx, queryBudget)
	defer cancel()
	reply, err := h.settings.peers.Queries(other).Loads(ctx, &messenger.LoadsRequest{})
	if err != nil {
		h.suspect(other)
		return
	}
	h.members.trust(other.ID)
	h.coordinator.Observe(reply.GetLoads())
}

// followRules asks the other hosts for the rules in force while this host has
// none: the log may be down when it starts.
func (h *Host) followRules(ctx context.Context) error {
	for ctx.Err() == nil && h.publisher.Rules().Version == 0 {
		for _, other := range h.others() {
			h.readRules(ctx, other)
		}
		waiter.Sleep(ctx, rulesEvery)
	}
	return nil
}

func (h *Host) readRules(ctx context.Context, other descriptor.Host) {
	ctx, cancel := context.WithTimeout(ctx, queryBudget)
	defer cancel()
	reply, err := h.settings.peers.Queries(other).Rules(ctx, &messenger.RulesRequest{})
	if err != nil || reply.GetVersion() == 0 {
		return
	}
	if err := h.publisher.Adopt(reply.GetVersion(), reply.GetText()); err != nil {
		h.settings.logger.Warn().Err(err).Str("from", other.ID).Msg("rules were not adopted")
	}
}

// summarise puts what the host counted into the log from time to time.
func (h *Host) summarise(ctx context.Context) error {
	for {
		waiter.Sleep(ctx, summaryEvery)
		if ctx.Err() != nil {
			return nil
		}
		if err := h.commitSummary(ctx); err != nil {
			h.settings.logger.Debug().Err(err).Msg("summary waits")
		}
	}
}

func (h *Host) commitSummary(ctx context.Context) error {
	s, err := h.reporter.Take(h.settings.self.ID, h.settings.wall())
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
