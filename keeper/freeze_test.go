package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/messenger"
)

// expireUntil lets the store drop the records of a partition once they are older than
// storeRetention, until the given time.
func (f *fixture) expireUntil(p connector.Partition, until time.Time) {
	type length struct {
		at  time.Time
		end int64
	}
	var lengths []length
	for time.Now().Before(until) {
		lengths = append(lengths, length{time.Now(), f.store.Len(p)})
		for len(lengths) > 0 && time.Since(lengths[0].at) > storeRetention {
			f.store.Trim(p, lengths[0].end)
			lengths = lengths[1:]
		}
		time.Sleep(time.Second)
	}
}

// A turn that is still kept is lost with its records, because the home stood still while
// another home recorded the turn, and doesn't know that it did.
func TestTurnOfAnInterimHomeIsLostAfterFreeze(t *testing.T) {
	for _, freeze := range []time.Duration{time.Second, storeRetention / 5, storeRetention / 2, storeRetention * 95 / 100, 2 * storeRetention} {
		t.Run(freeze.String(), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				a, b := f.startRewritingHome(ctx, "a"), f.startRewritingHome(ctx, "b")
				if v := verdictOf(ctx, a, "x", 1); v != messenger.BeginReply_RESERVED {
					t.Fatalf("begin: %v", v)
				}
				tickUntil(a, time.Now().Add(10*time.Second))
				began := time.Now()
				go f.expireUntil(partitions[0], began.Add(freeze+2*storeRetention))
				r := endRequest("1", "")
				r.Retention = (4 * storeRetention).Milliseconds()
				if diff := cmp.Diff("recorded", outcomeOf(b.End(ctx, r, time.Now()))); diff != "" {
					t.Fatalf("end (-want +got):\n%s", diff)
				}
				tickUntil(b, began.Add(freeze))
				tickUntil(a, began.Add(freeze+2*storeRetention))
				synctest.Wait()
				verdict := f.startRewritingHome(ctx, "c").Begin(ctx, beginRequest("2", "1"), time.Now()).GetVerdict()
				if diff := cmp.Diff(messenger.BeginReply_RESERVED, verdict); diff != "" {
					t.Errorf("verdict (-want +got):\n%s", diff)
				}
			})
		})
	}
}
