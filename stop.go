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
	// handOverTimeout bounds the hand-over of programs to one host, and the search
	// for the holder of one program.
	handOverTimeout = 2 * time.Second
	// flushTimeout bounds the append of the last summary to the log.
	flushTimeout = 2 * time.Second
)

// stop takes the host out of service. The host announces that it is leaving, so
// that callers are no longer directed to it. During the drain period it forwards
// late calls to the new homes. Then it waits for running calls and hands the
// remaining programs over. After the drain timeout, which includes the drain
// period, calls that are still running are aborted.
func (h *Host) stop(ctx context.Context) {
	h.settings.logger.Info().Msg("stopping")
	h.leaving.Store(true)
	h.members.markLeaving(h.settings.self.ID)
	h.announce(ctx)
	h.coordinator.StopAccepting()
	drain, cancel := context.WithTimeout(ctx, h.settings.drainTimeout)
	defer cancel()
	// Callers that still use this host's address may send calls during this time.
	// This host forwards the calls to the new homes. A new home that gets the
	// first call of a program asks this host for the state of the program.
	waiter.Sleep(drain, h.settings.drainPeriod)
	if err := h.callers.Shutdown(drain); err != nil {
		h.settings.logger.Warn().Err(err).Msg("drain timeout passed, caller connections are cut")
	}
	if err := h.coordinator.Drain(drain); err != nil {
		h.settings.logger.Warn().Err(err).Msg("drain timeout passed, running calls are cut")
	}
	h.handOver(drain)
	if err := h.peers.Shutdown(drain); err != nil {
		h.settings.logger.Warn().Err(err).Msg("drain timeout passed, streams of other hosts are cut")
	}
	h.flush(ctx)
	h.settings.logger.Info().Msg("stopped")
}

// handOver sends the state of each remaining program to the new home of the
// program. The remaining programs are those for which no other host has asked.
func (h *Host) handOver(ctx context.Context) {
	now := h.settings.clock()
	view := h.members.view()
	byHost := make(map[descriptor.Host][]*messenger.ProgramState)
	for _, s := range h.coordinator.HandOver(now) {
		next, ok := view.Home(locator.KeyHash(s.GetProgram()), now)
		if ok && next.ID != h.settings.self.ID {
			byHost[next] = append(byHost[next], s)
		}
	}
	for next, states := range byHost {
		h.handOverTo(ctx, next, states)
	}
}

// handOverTo sends the state of programs to one host.
func (h *Host) handOverTo(ctx context.Context, next descriptor.Host, states []*messenger.ProgramState) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	reply, err := h.settings.peers.Commands(next).Adopt(ctx, &messenger.AdoptRequest{Programs: states})
	if err != nil {
		h.settings.logger.Warn().Err(err).Str("to", next.ID).Int("programs", len(states)).Msg("programs were not handed over")
		return
	}
	h.settings.logger.Info().Str("to", next.ID).Int64("programs", reply.GetAdopted()).Msg("programs were handed over")
}

// askYield asks the stopping hosts for the state of a program. If this host gets
// the state, it need not claim the program through the log. A claim has a
// disadvantage: after it, all tokens that the old holder could still have spent
// count as spent.
func (h *Host) askYield(ctx context.Context, program string) (*messenger.ProgramState, bool) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
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

// flush appends the last summary to the log and waits for it. Records that were
// queued earlier are appended before it.
func (h *Host) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := h.commitSummary(ctx); err != nil {
		h.settings.logger.Warn().Err(err).Msg("last summary was not submitted to the log")
	}
}
