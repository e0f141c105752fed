package keeper_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/standin"
)

// recordTime is longer than a binding takes until it is in the store.
const recordTime = 200 * time.Millisecond

// bind tells a home that version v1 began the stream of an attempt.
func bind(k *keeper.Keeper, attempt string) {
	k.Bind(&messenger.BindRequest{Attempt: attempt, Build: &messenger.Build{Service: "s", Version: "v1"}}, time.Now())
}

// resume returns the verdict of a home, and the version, for a request that resumes the
// stream of an attempt.
func resume(ctx context.Context, k *keeper.Keeper, id, attempt string) []string {
	reply := k.Begin(ctx, &messenger.BeginRequest{Program: "p", Turn: id, Resumes: attempt, Left: 4000}, time.Now())
	return []string{reply.GetVerdict().String(), reply.GetBuild().GetVersion()}
}

func TestVersionOfStreamForgottenWithItsHome(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		early, first := f.startHome(ctx, "early"), f.startHome(ctx, "first")
		resume(ctx, early, "0", "none")
		bind(first, "1")
		atFirst := resume(ctx, first, "2", "1")
		time.Sleep(recordTime)
		got := [][]string{
			atFirst, resume(ctx, early, "3", "1"), resume(ctx, f.startHome(ctx, "late"), "4", "1"), resume(ctx, first, "5", "unknown"),
		}
		want := [][]string{{"RESERVED", "v1"}, {"RESERVED", "v1"}, {"RESERVED", "v1"}, {"UNBOUND", ""}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("verdicts and versions (-want +got):\n%s", diff)
		}
	})
}

func TestVersionOfStreamForgottenAtPlannedStop(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		k := f.startHome(ctx, "first")
		bind(k, "1")
		k.Release()
		time.Sleep(10 * time.Millisecond)
		got := resume(ctx, f.startHome(ctx, "next"), "2", "1")
		if diff := cmp.Diff([]string{"RESERVED", "v1"}, got); diff != "" {
			t.Errorf("verdict and version (-want +got):\n%s", diff)
		}
	})
}

// A stream whose version isn't known for sure must not be resumed.
func TestStreamResumedWithoutReadingTheStore(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		k := f.startHome(ctx, "first")
		resume(ctx, k, "0", "none")
		f.store.Fault = func(standin.Call) standin.Effect { return standin.Refuse }
		if diff := cmp.Diff([]string{"UNCERTAIN", ""}, resume(ctx, k, "1", "other")); diff != "" {
			t.Errorf("verdict and version (-want +got):\n%s", diff)
		}
	})
}
