package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// silentStore is a store that never answers reads of one partition.
type silentStore struct {
	connector.Store
	silent connector.Partition
}

func (s silentStore) Read(ctx context.Context, p connector.Partition, from int64, wait time.Duration) (connector.Records, error) {
	if p == s.silent {
		<-ctx.Done()
		return connector.Records{}, &connector.LostError{Cause: ctx.Err()}
	}
	return s.Store.Read(ctx, p, from, wait)
}

// A turn in a readable shard is not found because the search waits for another shard of
// the same host, whose partition is silent.
func TestSilentPartitionHidesNoTurnOfAnotherShard(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		r := endRequest("1", "")
		r.Shard = 1
		if _, err := f.startHome(ctx, "a").End(ctx, r, time.Now()); err != nil {
			t.Fatal(err)
		}
		found := 0
		const searches = 40
		for i := range searches {
			config := f.config(fmt.Sprint("new", i))
			config.Store = silentStore{config.Store, partitions[0]}
			k := keeper.New(ctx, config)
			limited, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
			began := time.Now()
			reply := k.Find(limited, &messenger.FindRequest{Shards: []int32{0, 1}, Turn: "1"}, time.Now())
			if reply.GetFound() && time.Since(began) == 0 {
				found++
			}
			cancel()
		}
		if diff := cmp.Diff(searches, found); diff != "" {
			t.Errorf("searches that found the turn at once (-want +got):\n%s", diff)
		}
	})
}

// A turn is taken for missing or may be anywhere, because the reply names a silent shard as
// searched, or leaves out a shard that answered.
func TestFindNamesTheShardsThatWereRead(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		all := make([]connector.Partition, 8)
		shards := make([]int32, len(all))
		for i := range all {
			all[i] = connector.Partition{Topic: "turns", Part: i}
			shards[i] = int32(i)
		}
		config := f.config("a")
		config.Store, config.Partitions = silentStore{config.Store, all[3]}, all
		k := keeper.New(ctx, config)
		for range 10 {
			limited, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
			reply := k.Find(limited, &messenger.FindRequest{Shards: shards, Turn: "1"}, time.Now())
			cancel()
			want := &messenger.FindReply{Certain: []int32{0, 1, 2, 4, 5, 6, 7}}
			if diff := cmp.Diff(want, reply, protocmp.Transform()); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
		}
	})
}
