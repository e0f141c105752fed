package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// newestTimeout is the time limit of a read of the newest records of all keys. Such a
	// read returns much, and many hosts may read at the same time: a read that is given up
	// was transferred in vain, and the next one waits as long.
	newestTimeout = 4 * time.Second
	// newestRepeat is the time after which the read is made once more beside the one that
	// goes on: a read that began while the store was silent is never answered.
	newestRepeat = 1500 * time.Millisecond
)

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
