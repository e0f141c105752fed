package citronpier

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// handBudget bounds one hand-over.
	handBudget = 2 * time.Second
	// flushBudget bounds the last append.
	flushBudget = 2 * time.Second
)

// stop takes the host out of service: it is no longer named to callers, hands
// its programs over, forwards late calls and waits for those under way.
func (h *Host) stop(ctx context.Context) {
	h.settings.logger.Info().Msg("stopping")
	h.leaving.Store(true)
	h.members.leave(h.settings.self.ID)
	h.announce(ctx)
	h.coordinator.Leave()
	drain, cancel := context.WithTimeout(ctx, h.settings.drain)
	defer cancel()
	// Late calls of callers that still keep this host's address are forwarded;
	// the new homes ask for the programs that they get calls of.
	waiter.Sleep(drain, h.settings.linger)
	if err := h.callers.Shutdown(drain); err != nil {
		h.settings.logger.Warn().Err(err).Msg("calls were cut at the drain limit")
	}
	if err := h.coordinator.Drain(drain); err != nil {
		h.settings.logger.Warn().Err(err).Msg("calls were cut at the drain limit")
	}
	h.handOver(drain)
	if err := h.peers.Shutdown(drain); err != nil {
		h.settings.logger.Warn().Err(err).Msg("peer streams were cut at the drain limit")
	}
	h.flush(ctx)
	h.settings.logger.Info().Msg("stopped")
}

// handOver gives the programs that no one asked for to their next homes.
func (h *Host) handOver(ctx context.Context) {
	now := h.settings.clock()
	view := h.members.view()
	byHost := make(map[descriptor.Host][]*messenger.ProgramState)
	for _, s := range h.coordinator.Hand(now) {
		next, ok := view.Home(locator.Route(s.GetProgram()), now)
		if ok && next.ID != h.settings.self.ID {
			byHost[next] = append(byHost[next], s)
		}
	}
	for next, states := range byHost {
		h.handTo(ctx, next, states)
	}
}

func (h *Host) handTo(ctx context.Context, next descriptor.Host, states []*messenger.ProgramState) {
	ctx, cancel := context.WithTimeout(ctx, handBudget)
	defer cancel()
	reply, err := h.settings.peers.Commands(next).Adopt(ctx, &messenger.AdoptRequest{Programs: states})
	if err != nil {
		h.settings.logger.Warn().Err(err).Str("to", next.ID).Int("programs", len(states)).Msg("hand-over failed")
		return
	}
	h.settings.logger.Info().Str("to", next.ID).Int64("programs", reply.GetAdopted()).Msg("handed over")
}

// askYield asks the hosts that are stopping for a program. It saves the claim,
// and with it what the old holder could still have spent.
func (h *Host) askYield(ctx context.Context, program string) (*messenger.ProgramState, bool) {
	ctx, cancel := context.WithTimeout(ctx, handBudget)
	defer cancel()
	for _, other := range h.members.view().Members().Hosts {
		if !other.Leaving || h.isSelf(other) {
			continue
		}
		reply, err := h.settings.peers.Commands(other).Yield(ctx, &messenger.YieldRequest{Program: program})
		if err == nil && reply.GetState() != nil {
			return reply.GetState(), true
		}
	}
	return nil, false
}

// flush puts the last summary and what waits before it into the log.
func (h *Host) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushBudget)
	defer cancel()
	if err := h.commitSummary(ctx); err != nil {
		h.settings.logger.Warn().Err(err).Msg("last summary was not recorded")
	}
}
