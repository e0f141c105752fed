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
	// slowLinkBytes is the rate of the slowest documented links, 75 Mbit/s, in bytes a second.
	slowLinkBytes = 75_000_000 / 8
	// partitionBytes is the rate at which a partition takes records, in bytes a second.
	partitionBytes = 20_000_000
	// linkChunk is the size in bytes of the pieces in which calls share a link.
	linkChunk = 16 << 10
)

// slowLink is the link of a host, which all its calls share. It holds one value while a call sends.
type slowLink chan struct{}

// transfer sends records over the link. The error is a *connector.LostError if ctx ends first.
func (l slowLink) transfer(ctx context.Context, records [][]byte) error {
	for left := bytesOf(records); left > 0 && ctx.Err() == nil; left -= linkChunk {
		l <- struct{}{}
		time.Sleep(time.Duration(min(left, linkChunk)) * time.Second / slowLinkBytes)
		<-l
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

// Large turns are cut, as no append ends in its time limit while they share a slow link.
func TestLargeTurnsAreCutBehindSlowLink(t *testing.T) {
	for _, turns := range []int{1, 2, 3, 4, 6} {
		t.Run(fmt.Sprint(turns, " at once"), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				link := make(slowLink, 1)
				config := f.config("a")
				config.RecordBytes, config.CallBytes = 256<<10, callBytes
				config.Store = relayer.New(relayer.Config{
					Direct: linkedStore{limitedStore{Store: config.Store, limit: callBytes}, link},
					Relays: func() []relayer.Relay {
						return []relayer.Relay{{Address: "other", Ledger: linkedLedger{store: f.store.Host("other"), link: link}}}
					},
					Counters: config.Counters, Logger: config.Logger,
				})
				config.Partitions = nil
				for part := range turns {
					config.Partitions = append(config.Partitions, connector.Partition{Topic: "turns", Part: part})
				}
				a := keeper.New(ctx, config)
				var running sync.WaitGroup
				outcomes := make([]string, turns)
				for i := range turns {
					running.Go(func() {
						limited, cancel := context.WithTimeout(ctx, 4*time.Second)
						defer cancel()
						r := incompressibleTurn(fmt.Sprint(i), 3<<20)
						r.Program, r.Shard = fmt.Sprint(i), int32(i)
						outcomes[i] = outcomeOf(a.End(limited, r, time.Now()))
					})
				}
				running.Wait()
				for i, got := range outcomes {
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
