package keeper

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// minBindingRetention is the shortest time that a binding is kept. Requests and records
	// of an earlier release name no time.
	minBindingRetention = time.Minute
	// bindingDelay is how long a binding waits for other changes with which it can be
	// appended. A binding that is lost with its home makes the stream unresumable.
	bindingDelay = 20 * time.Millisecond
	// maxQueuedBindings is the number of queued changes from which on bindings are kept in
	// memory only. The rest of the queue is left to changes that callers wait for.
	maxQueuedBindings = maxQueuedChanges / 2
)

// bindings holds the build that began the stream of each attempt. A binding never changes,
// so that any host that has it, and any record of it, can be trusted. The zero value is
// empty. It is not safe for concurrent use.
type bindings struct{ byAttempt map[string]binding }

// binding is the build that began a stream.
type binding struct {
	build   descriptor.Build
	expires time.Time
}

// add adds the binding of an attempt. It returns false if the attempt is bound already.
func (b *bindings) add(attempt string, build descriptor.Build, expires time.Time) bool {
	if _, ok := b.byAttempt[attempt]; ok {
		return false
	}
	if b.byAttempt == nil {
		b.byAttempt = make(map[string]binding)
	}
	b.byAttempt[attempt] = binding{build: build, expires: expires}
	return true
}

// prune drops the bindings that have expired.
func (b *bindings) prune(now time.Time) {
	for attempt, bound := range b.byAttempt {
		if now.After(bound.expires) {
			delete(b.byAttempt, attempt)
		}
	}
}

// bindingExpiry returns when a binding expires that was made at boundAt. retention is the
// time that the request or the record names, in milliseconds.
func bindingExpiry(boundAt time.Time, retention int64) time.Time {
	return boundAt.Add(max(minBindingRetention, time.Duration(retention)*time.Millisecond))
}

// Bind records which build began the stream of an attempt. It does not wait for the store.
func (k *Keeper) Bind(r *messenger.BindRequest, now time.Time) *messenger.BindReply {
	s, ok := k.openShard(int(r.GetShard()), r.GetForce(), now)
	if !ok {
		return &messenger.BindReply{Elsewhere: true}
	}
	s.bind(r, now)
	return &messenger.BindReply{}
}

// bind keeps the binding of an attempt and queues its record.
func (s *shard) bind(r *messenger.BindRequest, now time.Time) {
	attempt, retention := r.GetAttempt(), r.GetRetention()
	build := descriptor.Build{Service: r.GetBuild().GetService(), Version: r.GetBuild().GetVersion()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bindings.add(attempt, build, bindingExpiry(now, retention)) {
		return
	}
	if len(s.queue)+len(s.deferred) >= maxQueuedBindings {
		s.logger.Warn().Str("id", attempt).Msg("version of stream not recorded: too many changes are queued")
		return
	}
	s.deferred = append(s.deferred, newChange("", bindingChange{attempt: attempt, build: build, retention: retention}))
	if !s.flushScheduled {
		s.flushScheduled = true
		time.AfterFunc(bindingDelay, s.flushScheduledChanges)
	}
}

// flushScheduledChanges queues the deferred changes bindingDelay after a binding.
func (s *shard) flushScheduledChanges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushScheduled = false
	s.flushDeferredLocked()
}

// boundBuild returns the build that began the stream of an attempt, if this shard knows
// it.
func (s *shard) boundBuild(attempt string) (descriptor.Build, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bound, ok := s.bindings.byAttempt[attempt]
	return bound.build, ok
}

// findBuild returns the build that began the stream which a request resumes, or nil if the
// request resumes none. If the build is not known, findBuild returns the reply to send
// instead.
func (k *Keeper) findBuild(ctx context.Context, s *shard, r *messenger.BeginRequest) (*messenger.Build, *messenger.BeginReply) {
	attempt := r.GetResumes()
	if attempt == "" {
		return nil, nil
	}
	build, ok := s.boundBuild(attempt)
	if !ok {
		// Another home may have recorded the binding since the last read.
		if err := s.refresh(ctx); err != nil {
			return nil, uncertainReply(err)
		}
		build, ok = s.boundBuild(attempt)
	}
	if !ok {
		k.config.Logger.Info().Str("id", r.GetTurn()).Str("resumes", attempt).Msg("stream can't be resumed: its version is not known")
		return nil, &messenger.BeginReply{Verdict: messenger.BeginReply_UNBOUND}
	}
	return &messenger.Build{Service: build.Service, Version: build.Version}, nil
}

// needsStore reports whether the store has to be read or written before the turn can run.
func (s *shard) needsStore(r *messenger.BeginRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, bound := s.bindings.byAttempt[r.GetResumes()]
	return r.GetRetain() || !s.loaded || (r.GetResumes() != "" && !bound)
}
