package keeper

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
)

// shardKept is how long a shard that has another home is held for stragglers.
const shardKept = 20 * time.Second

// reserve takes the most of a turn out of its program's budget.
func (k *Keeper) reserve(ctx context.Context, s *shard, r *messenger.BeginRequest, now time.Time) *messenger.BeginReply {
	for {
		verdict, pending, err := s.tryReserve(r, now)
		if err != nil {
			return uncertain(err)
		}
		switch v := verdict.(type) {
		case budgeter.Exceeded:
			k.config.Logger.Info().Str("program", r.GetProgram()).Str("id", r.GetTurn()).Int64("left", v.Left).
				Int64("most", r.GetMost()).Int64("budget", r.GetBudget()).Msg("budget exceeded")
			return &messenger.BeginReply{Verdict: messenger.BeginReply_EXCEEDED}
		case budgeter.Short:
			select {
			case <-pending.done:
			case <-ctx.Done():
				return uncertain(ctx.Err())
			}
		default:
			return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED, Holder: k.config.Incarnation}
		}
	}
}

// tryReserve reserves where that is possible at once. With Short it returns
// the grant to wait for.
func (s *shard) tryReserve(r *messenger.BeginRequest, now time.Time) (budgeter.Verdict, *change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.GetProgram(), time.Duration(r.GetRetention())*time.Millisecond, now)
	a.escrow.Budget = r.GetBudget()
	if _, ok := a.turns[r.GetTurn()]; ok {
		return budgeter.Reserved{}, nil, nil
	}
	escrow, verdict := a.escrow.WithReserved(r.GetMost())
	grant := int64(0)
	switch v := verdict.(type) {
	case budgeter.Exceeded:
		return v, nil, nil
	case budgeter.Short:
		grant = v.Ceiling - a.escrow.Own
	case budgeter.Ahead:
		grant = v.Grant
	}
	if grant > 0 {
		if err := s.grant(a, r.GetProgram(), grant); err != nil {
			return nil, nil, err
		}
	}
	if _, short := verdict.(budgeter.Short); !short {
		a.escrow = escrow
		a.turns[r.GetTurn()] = r.GetMost()
	}
	return verdict, a.granting, nil
}

// grant asks for a grant, unless one is on its way.
func (s *shard) grant(a *account, program string, amount int64) error {
	if a.granting != nil {
		return nil
	}
	c := &change{program: program, grant: amount, done: make(chan struct{})}
	if err := s.submit(c); err != nil {
		return err
	}
	a.granting = c
	go func() {
		<-c.done
		s.mu.Lock()
		defer s.mu.Unlock()
		a.granting = nil
	}()
	return nil
}

// settle ends a turn's reservation.
func (s *shard) settle(r *messenger.EndRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[r.GetProgram()]
	if !ok {
		return
	}
	a.used = now
	if most, ok := a.turns[r.GetTurn()]; ok {
		delete(a.turns, r.GetTurn())
		a.escrow = a.escrow.WithSettled(most, r.GetGenerated())
	}
	if r.GetUpstream() == "" {
		return
	}
	if s.upstreams == nil {
		s.upstreams = make(map[string]sighting)
	}
	s.upstreams[r.GetSession()] = sighting{upstream: r.GetUpstream(), seen: now}
}

// upstream returns the upstream that served a session's last turn.
func (s *shard) upstream(session string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[session].upstream
}

// adopt keeps a chain of another shard until a turn that continues it is
// recorded here with it.
func (s *shard) adopt(turn string, chain []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.imported == nil {
		s.imported = make(map[string][]byte)
	}
	s.imported[turn] = chain
}

// record appends a turn and returns once it is in the store.
func (s *shard) record(ctx context.Context, r *messenger.EndRequest, _ time.Time) error {
	c := &change{
		turn: &recorder.Turn{
			Id:        r.GetTurn(),
			Previous:  r.GetPrevious(),
			Input:     r.GetInput(),
			Output:    r.GetOutput(),
			Retention: r.GetRetention(),
			Program:   r.GetProgram(),
			Session:   r.GetSession(),
		},
		done: make(chan struct{}),
	}
	s.mu.Lock()
	known := s.tree.Has(r.GetTurn())
	var err error
	if !known {
		err = s.submit(c)
	}
	s.mu.Unlock()
	if known || err != nil {
		return err
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release gives back what this home was granted and has not used.
func (s *shard) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for program, a := range s.accounts {
		unused := a.escrow.Unused()
		if unused == 0 || a.granting != nil {
			continue
		}
		// What is given back is no longer handed out, whenever the record gets in.
		a.escrow.Own -= unused
		c := &change{program: program, grant: -unused, returned: true, done: make(chan struct{})}
		if err := s.submit(c); err != nil {
			s.logger.Warn().Err(err).Str("program", program).Msg("grant not given back")
		}
	}
}

// idle reports whether the shard may be dropped.
func (s *shard) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.used) > shardKept && !s.writing && len(s.queue) == 0
}
