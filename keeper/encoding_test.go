package keeper_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// An attempt id is bytes of a caller's header.
func TestTurnLostBesideAttemptIDThatIsNoText(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		k := f.startHome(ctx, "first")
		verdict := k.Begin(ctx, beginRequest("1", ""), time.Now()).GetVerdict()
		bind(k, "\xff")
		reply, err := k.End(ctx, endRequest("1", ""), time.Now())
		got := []any{verdict, reply.GetRecorded(), err}
		if diff := cmp.Diff([]any{messenger.BeginReply_RESERVED, true, error(nil)}, got); diff != "" {
			t.Errorf("verdict, recorded, error (-want +got):\n%s", diff)
		}
	})
}

func TestTurnThatCanNotBeEncodedReportedAsRecorded(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		k := f.startHome(ctx, "first")
		reply, err := k.End(ctx, endRequest("\xff", ""), time.Now())
		var encoding *keeper.EncodingError
		got := []bool{reply.GetRecorded(), errors.As(err, &encoding)}
		if diff := cmp.Diff([]bool{false, true}, got); diff != "" {
			t.Errorf("recorded, error %v is an EncodingError (-want +got):\n%s", err, diff)
		}
	})
}
