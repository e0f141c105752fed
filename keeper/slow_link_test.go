package keeper_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/relayer"
)

const (
	// slowLinkRate and slowestLinkRate are the rates of slow documented links, 75 and 22 Mbit/s, in
	// bytes a second.
	slowLinkRate    = 75_000_000 / 8
	slowestLinkRate = 22_000_000 / 8
	// partitionBytes is the rate at which a partition takes records, in bytes a second.
	partitionBytes = 20_000_000
	// linkChunk is the size in bytes of the pieces in which calls share a link.
	linkChunk = 16 << 10
)

// slowLink is the link of a host, which all its calls share.
type slowLink struct {
	// busy holds one value while a call sends.
	busy chan struct{}
	// rate is in bytes a second.
	rate int
}

// transfer sends records over the link. The error is a *connector.LostError if ctx ends first.
func (l slowLink) transfer(ctx context.Context, records [][]byte) error {
	for left := bytesOf(records); left > 0 && ctx.Err() == nil; left -= linkChunk {
		l.busy <- struct{}{}
		time.Sleep(time.Duration(min(left, linkChunk)) * time.Second / time.Duration(l.rate))
		<-l.busy
	}
	if ctx.Err() != nil {
		return &connector.LostError{Cause: ctx.Err()}
	}
	return nil
}

// bytesOf returns the size of records in bytes.
func bytesOf(records [][]byte) int {
	size := 0
	for _, r := range records {
		size += len(r)
	}
	return size
}

// linkedStore is a store behind the link of a host. What has not arrived whole is not appended.
type linkedStore struct {
	connector.Store
	link slowLink
}

func (s linkedStore) Append(ctx context.Context, p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	if err := s.link.transfer(ctx, records); err != nil {
		return connector.Appended{}, err
	}
	time.Sleep(time.Duration(bytesOf(records)) * time.Second / partitionBytes)
	return s.Store.Append(ctx, p, records, at)
}

// linkedLedger is another host that appends to the store for the one behind the link.
type linkedLedger struct {
	messenger.Ledger
	store connector.Store
	link  slowLink
}

func (l linkedLedger) Append(ctx context.Context, r *messenger.AppendRequest) (*messenger.AppendReply, error) {
	if err := l.link.transfer(ctx, r.GetRecords()); err != nil {
		return nil, err
	}
	return relayer.Server{Direct: l.store}.Append(ctx, r)
}

// slowLinkHome is a home with a partition for each program, whose calls to the store share a slow
// link, also those through another host.
type slowLinkHome struct{ *keeper.Keeper }

// startSlowLinkHome starts a home for a number of programs, with a link of some rate.
func (f *fixture) startSlowLinkHome(ctx context.Context, programs, rate int) slowLinkHome {
	link := slowLink{busy: make(chan struct{}, 1), rate: rate}
	config := f.config("a")
	config.RecordBytes, config.CallBytes = recordBytes, callBytes
	config.Store = relayer.New(relayer.Config{
		Direct: linkedStore{limitedStore{Store: config.Store, limit: callBytes}, link},
		Relays: func() []relayer.Relay {
			return []relayer.Relay{{Address: "other", Ledger: linkedLedger{store: f.store.Host("other"), link: link}}}
		},
		Counters: config.Counters, Logger: config.Logger,
	})
	config.Partitions = nil
	for part := range programs {
		config.Partitions = append(config.Partitions, connector.Partition{Topic: "turns", Part: part})
	}
	return slowLinkHome{keeper.New(ctx, config)}
}

// endLargeTurns ends a large turn of some size of each program at once and returns the outcomes.
func (h slowLinkHome) endLargeTurns(ctx context.Context, name string, programs, size int) []string {
	var running sync.WaitGroup
	outcomes := make([]string, programs)
	for i := range programs {
		running.Go(func() {
			limited, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			r := incompressibleTurn(fmt.Sprint(name, i), size)
			r.Program, r.Shard = fmt.Sprint(i), int32(i)
			outcomes[i] = outcomeOf(h.End(limited, r, time.Now()))
		})
	}
	running.Wait()
	return outcomes
}

// Large turns are cut, as no append ends in its time limit while they share a slow link.
func TestLargeTurnsAreCutBehindSlowLink(t *testing.T) {
	for _, c := range []struct{ rate, size, turns int }{
		{slowLinkRate, 3 << 20, 1},
		{slowLinkRate, 3 << 20, 2},
		{slowLinkRate, 3 << 20, 3},
		{slowLinkRate, 3 << 20, 4},
		{slowLinkRate, 3 << 20, 6},
		{slowestLinkRate, 3 << 20, 1},
		{slowestLinkRate, 3 << 20, 2},
		{slowestLinkRate, 1 << 20, 4},
		{slowestLinkRate, 1 << 20, 6},
	} {
		for _, idle := range []int{0, 3} {
			t.Run(fmt.Sprintf("%d of %d KiB at once at %d bytes a second, after %d on an idle link", c.turns, c.size>>10, c.rate, idle), func(t *testing.T) {
				runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
					h := f.startSlowLinkHome(ctx, c.turns, c.rate)
					for i := range idle {
						h.endLargeTurns(ctx, fmt.Sprint("idle", i), 1, c.size)
					}
					for i, got := range h.endLargeTurns(ctx, "turn", c.turns, c.size) {
						if diff := cmp.Diff("recorded", got); diff != "" {
							t.Errorf("end of turn %d (-want +got):\n%s", i, diff)
						}
					}
					// The appends of turns that were given up go on.
					time.Sleep(time.Minute)
				})
			})
		}
	}
}
