// Package relayer calls the platform's store, either directly or, while the store
// is unreachable from this host, through another host that reaches it.
package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// directTimeout is the time limit of a direct call to the store while another
	// host can relay the call.
	directTimeout = 400 * time.Millisecond
	// onlyPathTimeout is the time limit of a direct call to the store while no other
	// host can relay the call. It is longer because the call then has no other path
	// to the store.
	onlyPathTimeout = 1500 * time.Millisecond
	// extraReadTimeout is added to the time limit of a direct read, which may
	// return a megabyte while many hosts read from the store.
	extraReadTimeout = 600 * time.Millisecond
	// newestTimeout is the time limit of a read of the newest records of all keys. Such a
	// read returns much, and many hosts may read at the same time: a read that is given up
	// was transferred in vain, and the next one waits as long.
	newestTimeout = 4 * time.Second
	// newestRepeat is the time after which the read is made once more beside the one that
	// goes on: a read that began while the store was silent is never answered.
	newestRepeat = 1500 * time.Millisecond
	// relayTimeout is the time limit of a call to the store through another host.
	relayTimeout = 600 * time.Millisecond
	// directRetryInterval is the time between a failed direct call and the next
	// direct call, while the store is unreachable from this host and other hosts can
	// relay calls.
	directRetryInterval = 500 * time.Millisecond
	// reachableWindow is how long the store counts as reachable after it has answered
	// a call, and how long a partition counts as failing after a call to it failed.
	reachableWindow = 1500 * time.Millisecond
	// otherPartitionWindow limits the age of another partition's last answer while a
	// partition fails. If another partition has answered within this time, only the
	// failing partition is blamed, and otherwise the path from this host to the store.
	otherPartitionWindow = 250 * time.Millisecond
	// MaxRelays is the maximum number of other hosts that are tried for one call.
	MaxRelays = 2
)

// Relay is another host that can call the store on behalf of this host.
type Relay struct {
	// Address is the host's peer address, host:port, for logs.
	Address string
	// Ledger relays appends, and Mirror relays reads.
	Ledger messenger.Ledger
	Mirror messenger.Mirror
}

// Config holds the dependencies of a Relayer.
type Config struct {
	// Direct calls the store from this host.
	Direct connector.Store
	// Relays returns other hosts that reach the store, in order of preference. Only the
	// first MaxRelays are used.
	Relays   func() []Relay
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Relayer is a connector.Store that calls the store directly or through other
// hosts, and tracks which partitions this host reaches. It is safe for concurrent
// use.
type Relayer struct {
	config Config

	mu sync.Mutex
	// byPartition records the outcome of direct calls to each partition.
	byPartition map[connector.Partition]directCalls
	// lastFailure is when a direct call to any partition last failed.
	lastFailure time.Time
	// recovered is closed when the store answers this host after calls have failed, and then
	// replaced. It is created on first use.
	recovered chan struct{}
	// lossLogged is true once this host has logged that the store is unreachable,
	// until the next answer of the store.
	lossLogged bool
}

// directCalls records the outcome of direct calls to one partition. The zero value
// means that there were no direct calls.
type directCalls struct {
	// lastAnswer is when the store last answered.
	lastAnswer time.Time
	// lastFailure is when the latest call failed; zero if it was answered.
	lastFailure time.Time
}

// failing reports whether the latest call failed, less than reachableWindow ago.
func (d directCalls) failing(now time.Time) bool {
	return !d.lastFailure.IsZero() && now.Sub(d.lastFailure) < reachableWindow
}

// New returns a Relayer. The store counts as unreachable until its first answer.
func New(c Config) *Relayer {
	return &Relayer{config: c, byPartition: make(map[connector.Partition]directCalls)}
}

// ReachesDirectly reports whether this host reaches the store directly: whether any
// partition has answered recently.
func (r *Relayer) ReachesDirectly(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reachesDirectly(now)
}

// reachesDirectly implements ReachesDirectly; the caller must hold r.mu. While any
// partition is failing, another partition must have answered within
// otherPartitionWindow instead of reachableWindow.
func (r *Relayer) reachesDirectly(now time.Time) bool {
	window := reachableWindow
	for _, d := range r.byPartition {
		if d.failing(now) {
			window = otherPartitionWindow
		}
	}
	for _, d := range r.byPartition {
		if !d.failing(now) && now.Sub(d.lastAnswer) < window {
			return true
		}
	}
	return false
}

// Available reports whether the store has recently answered this host, or another
// host that can relay calls for this host.
func (r *Relayer) Available(now time.Time) bool {
	return r.ReachesDirectly(now) || len(r.config.Relays()) > 0
}

// Unavailable reports whether a partition is unavailable: direct calls to it fail while
// other partitions answer. Relaying through another host would not help then.
func (r *Relayer) Unavailable(p connector.Partition, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byPartition[p].failing(now) && r.reachesDirectly(now)
}

// tryDirect reports whether a call should be made directly: if there is no relay,
// if this host reaches the store, or if the last direct call failed long enough
// ago to try again.
func (r *Relayer) tryDirect(relays int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return relays == 0 || r.reachesDirectly(now) || now.Sub(r.lastFailure) >= directRetryInterval
}

// recordDirectCall records the outcome of a direct call to a partition. It logs
// when the partition or the whole store becomes unreachable or reachable again.
func (r *Relayer) recordDirectCall(p connector.Partition, err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.byPartition[p]
	if isAnswer(err) {
		if !old.lastFailure.IsZero() {
			r.config.Logger.Info().Str("partition", p.String()).Dur("away_ms", now.Sub(old.lastAnswer)).Msg("partition reachable again")
		}
		r.byPartition[p] = directCalls{lastAnswer: now}
		if r.lossLogged {
			r.config.Logger.Info().Str("partition", p.String()).Dur("since_ms", now.Sub(r.lastFailure)).Msg("store reachable again")
		}
		r.lossLogged = false
		if !old.lastFailure.IsZero() {
			r.announceRecovery()
		}
		return
	}
	r.byPartition[p] = directCalls{lastAnswer: old.lastAnswer, lastFailure: now}
	r.lastFailure = now
	if old.lastFailure.IsZero() {
		r.config.Logger.Warn().Err(err).Str("partition", p.String()).Dur("since_ms", now.Sub(old.lastAnswer)).Msg("partition unreachable")
	}
	if !r.lossLogged && !r.reachesDirectly(now) {
		r.lossLogged = true
		r.config.Logger.Warn().Err(err).Str("partition", p.String()).Msg("store unreachable")
	}
}

// announceRecovery wakes the reads that wait for an answer. The caller must hold r.mu.
func (r *Relayer) announceRecovery() {
	if r.recovered != nil {
		close(r.recovered)
		r.recovered = nil
	}
}

// whenRecovered returns a channel that is closed when the store answers this host after calls
// have failed.
func (r *Relayer) whenRecovered() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovered == nil {
		r.recovered = make(chan struct{})
	}
	return r.recovered
}

// isAnswer reports whether err means that the store answered the call. Besides
// success, these are the answers that a partition ends at another offset than an
// append expected, that the records of a read have been trimmed, and that a call is too
// large.
func isAnswer(err error) bool {
	var mismatch *connector.EndMismatchError
	var trimmed *connector.TrimmedError
	return err == nil || errors.As(err, &mismatch) || errors.As(err, &trimmed) || connector.IsTooLarge(err)
}

// callStore makes one call to the store. It calls the store directly if tryDirect
// allows this. Otherwise, or if the direct call fails, it tries up to MaxRelays other
// hosts. It does not relay a failed call to an unavailable partition. extraTimeout is
// added to the time limit of the direct call only.
func callStore[T any](ctx context.Context, r *Relayer, p connector.Partition, extraTimeout time.Duration,
	direct func(context.Context) (T, error), relayed func(context.Context, Relay) (T, error),
) (T, error) {
	now := time.Now()
	relays := r.config.Relays()
	var result T
	var err error
	if r.tryDirect(len(relays), now) {
		timeout := directTimeout
		if len(relays) == 0 {
			timeout = onlyPathTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout+extraTimeout)
		result, err = direct(callCtx)
		cancel()
		if ctx.Err() == nil {
			r.recordDirectCall(p, err, time.Now())
		}
		if isAnswer(err) || ctx.Err() != nil || r.Unavailable(p, time.Now()) {
			return result, err
		}
	}
	for i, relay := range relays {
		if i >= MaxRelays || ctx.Err() != nil {
			break
		}
		r.config.Counters.Stages.Add("relayed", 1)
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		result, err = relayed(callCtx, relay)
		cancel()
		if isAnswer(err) {
			return result, err
		}
		r.config.Logger.Debug().Err(err).Str("peer", relay.Address).Msg("call to the store through another host failed")
	}
	if err == nil {
		err = &connector.RefusedError{Detail: "the store failed of late"}
	}
	return result, err
}

// Append implements connector.Store. A relayed call whose answer is lost returns
// a *connector.LostError: the records may have been appended.
func (r *Relayer) Append(ctx context.Context, p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	return callStore(ctx, r, p, 0,
		func(ctx context.Context) (connector.Appended, error) {
			return r.config.Direct.Append(ctx, p, records, at)
		},
		func(ctx context.Context, relay Relay) (connector.Appended, error) {
			reply, err := relay.Ledger.Append(ctx, &messenger.AppendRequest{
				Topic: p.Topic, Part: int32(p.Part), Records: records, At: at,
			})
			if err != nil {
				return connector.Appended{}, &connector.LostError{Cause: err}
			}
			return connector.Appended{Offset: reply.GetOffset(), End: reply.GetEnd()}, fromFault(reply.GetFault(), p)
		})
}

// Read implements connector.Store. A read through another host does not wait for
// new records.
func (r *Relayer) Read(ctx context.Context, p connector.Partition, from int64, wait time.Duration) (connector.Records, error) {
	return callStore(ctx, r, p, wait+extraReadTimeout,
		func(ctx context.Context) (connector.Records, error) {
			return r.config.Direct.Read(ctx, p, from, wait)
		},
		func(ctx context.Context, relay Relay) (connector.Records, error) {
			reply, err := relay.Mirror.Read(ctx, &messenger.ReadRequest{Topic: p.Topic, Part: int32(p.Part), From: from})
			if err != nil {
				return connector.Records{}, &connector.LostError{Cause: err}
			}
			records := connector.Records{First: reply.GetFirst(), End: reply.GetEnd(), Values: reply.GetRecords()}
			return records, fromFault(reply.GetFault(), p)
		})
}

// newestResult is the outcome of a read of the newest records.
type newestResult struct {
	newest connector.Newest
	err    error
	// direct is true for the read of this host itself.
	direct bool
}

// Newest implements connector.Store. If the store does not answer within directTimeout,
// relays are asked while the direct read goes on. The direct read is repeated beside it after
// newestRepeat, and once when another call shows that the store answers again. The first
// answer counts. The relays mostly answer from memory.
func (r *Relayer) Newest(ctx context.Context, p connector.Partition) (connector.Newest, error) {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	const reads = 2 + int(newestTimeout/newestRepeat)
	results := make(chan newestResult, reads+MaxRelays)
	readDirectly := func() {
		newest, err := r.config.Direct.Newest(ctx, p)
		results <- newestResult{newest, err, true}
	}
	go readDirectly()
	pending, last := 1, error(nil)
	askRelays := time.After(directTimeout)
	repeat := time.NewTicker(newestRepeat)
	defer repeat.Stop()
	recovered := r.whenRecovered()
	for {
		select {
		case <-recovered:
			recovered = nil
			pending++
			go readDirectly()
		case <-repeat.C:
			pending++
			go readDirectly()
		case <-askRelays:
			askRelays = nil
			pending += r.askNewest(ctx, p, results)
		case got := <-results:
			pending--
			last = got.err
			if got.direct && ctx.Err() == nil {
				r.recordDirectCall(p, got.err, time.Now())
			}
			if isAnswer(got.err) {
				return got.newest, got.err
			}
			if askRelays != nil {
				askRelays = nil
				pending += r.askNewest(ctx, p, results)
			}
			if pending == 0 {
				return connector.Newest{}, last
			}
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				r.recordDirectCall(p, ctx.Err(), time.Now())
			}
			return connector.Newest{}, &connector.LostError{Cause: ctx.Err()}
		}
	}
}

// askNewest asks relays for the newest records, and returns how many will send a result.
func (r *Relayer) askNewest(ctx context.Context, p connector.Partition, results chan<- newestResult) int {
	relays := r.config.Relays()
	relays = relays[:min(len(relays), MaxRelays)]
	for _, relay := range relays {
		r.config.Counters.Stages.Add("relayed", 1)
		go func() {
			newest, err := relayedNewest(ctx, relay, p)
			results <- newestResult{newest: newest, err: err}
		}()
	}
	return len(relays)
}

// relayedNewest reads the newest records through another host.
func relayedNewest(ctx context.Context, relay Relay, p connector.Partition) (connector.Newest, error) {
	reply, err := relay.Mirror.Newest(ctx, &messenger.NewestRequest{Topic: p.Topic, Part: int32(p.Part)})
	if err != nil {
		return connector.Newest{}, &connector.LostError{Cause: err}
	}
	newest := connector.Newest{End: reply.GetEnd()}
	for _, i := range reply.GetItems() {
		newest.Items = append(newest.Items, connector.Item{Key: i.GetKey(), Value: i.GetValue(), Offset: i.GetOffset()})
	}
	return newest, fromFault(reply.GetFault(), p)
}
