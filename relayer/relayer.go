// Package relayer calls the platform's store, either directly or, while the store
// is unreachable from this host, through another host that reaches it.
package relayer

import (
	"context"
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
	// relayTimeout is the time limit of a call to the store through another host.
	relayTimeout = 600 * time.Millisecond
	// minAppendRate is the rate at which an append is sent at least, in bytes a second: its time
	// limits grow with its size, by up to maxExtraAppendTime. Several appends may share a slow link.
	minAppendRate      = 1 << 20
	maxExtraAppendTime = time.Second
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

// New returns a Relayer. The store counts as unreachable until its first answer.
func New(c Config) *Relayer {
	return &Relayer{config: c, byPartition: make(map[connector.Partition]directCalls)}
}

// extraTimes are added to the time limits of a call.
type extraTimes struct {
	// direct is for the direct call, and relayed for each call through another host.
	direct, relayed time.Duration
}

// extraTimesOf returns the extra times of an append.
func extraTimesOf(records [][]byte) extraTimes {
	size := 0
	for _, r := range records {
		size += len(r)
	}
	extra := min(maxExtraAppendTime, time.Duration(size)*time.Second/minAppendRate)
	return extraTimes{direct: extra, relayed: extra}
}

// callStore makes one call to the store. It calls the store directly if tryDirect
// allows this. Otherwise, or if the direct call fails, it tries up to MaxRelays other
// hosts. It does not relay a failed call to an unavailable partition.
func callStore[T any](ctx context.Context, r *Relayer, p connector.Partition, extra extraTimes,
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
		callCtx, cancel := context.WithTimeout(ctx, timeout+extra.direct)
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
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout+extra.relayed)
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
	return callStore(ctx, r, p, extraTimesOf(records),
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
	return callStore(ctx, r, p, extraTimes{direct: wait + extraReadTimeout},
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
