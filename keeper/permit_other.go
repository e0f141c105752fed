package keeper

import (
	"time"

	"github.com/citronpier/citronpier/recorder"
)

// otherPermit is the permit of another home.
type otherPermit struct {
	// share is a share of each budget, in per cent.
	share int64
	// written is when the permit was last written to the store.
	written time.Time
	// fenced is when a batch of this home was first appended after the permit. The other home
	// reads it before it appends again, or stops to use the permit after permitValidity.
	fenced time.Time
}

// applyOtherPermit applies the permit of another home in a batch; a share of 0 closes it. A batch
// without a sequence number is a copy that a further home has written: programs that are named
// before the copy may have been named after the original. An earlier permit of this home itself was
// closed before the shard was dropped from memory. The caller holds mu.
func (s *shard) applyOtherPermit(b *recorder.ShardBatch, share int64, written time.Time) {
	writer, copied := b.GetWriter(), b.GetSequence() == 0
	switch {
	case writer == s.keeper.config.Incarnation:
		return
	case share <= 0:
		s.dropPermit(writer)
		return
	}
	o, known := s.otherPermits[writer]
	o.share, o.written = max(share, o.share), written
	if !copied {
		o.fenced = time.Time{}
	}
	if s.otherPermits == nil {
		s.otherPermits = make(map[string]otherPermit)
	}
	s.otherPermits[writer] = o
	for _, a := range s.accounts {
		if !a.known || (copied && !known) {
			a.assumePermit(writer, o.share)
		}
	}
}

// dropPermit forgets the permit of another home. The caller holds mu.
func (s *shard) dropPermit(writer string) {
	delete(s.otherPermits, writer)
	for _, a := range s.accounts {
		a.dropPermit(writer)
	}
}

// assumePermit counts the share of another home's permit as spent, unless that home has recorded
// an allowance for the program.
func (a *account) assumePermit(writer string, share int64) {
	if _, ok := a.otherAllowances[writer]; ok {
		return
	}
	if a.otherPermits == nil {
		a.otherPermits = make(map[string]int64)
	}
	a.escrow.OtherPermits += share - a.otherPermits[writer]
	a.otherPermits[writer] = share
}

// dropPermit no longer counts the permit of another home.
func (a *account) dropPermit(writer string) {
	a.escrow.OtherPermits -= a.otherPermits[writer]
	delete(a.otherPermits, writer)
}

// fencePermits notes that a batch of this home was appended. The caller holds mu.
func (s *shard) fencePermits(now time.Time) {
	s.permit.used = false
	for writer, o := range s.otherPermits {
		if o.fenced.IsZero() {
			o.fenced = now
			s.otherPermits[writer] = o
		}
	}
}

// mayClose reports whether another home can't use its permit any more, and the programs for which
// it may have used it are forgotten. The caller holds mu.
func (s *shard) mayClose(o otherPermit, now time.Time) bool {
	wait := clockMargin*permitValidity + accountRetentionFactor*max(s.longestRetention, minAccountRetention)
	return !o.fenced.IsZero() && now.Sub(o.fenced) > wait
}
