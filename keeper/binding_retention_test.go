package keeper_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// bindFor does what bind does, and says how long to keep the binding.
func bindFor(k *keeper.Keeper, attempt string, retention time.Duration) {
	k.Bind(&messenger.BindRequest{
		Attempt: attempt, Build: &messenger.Build{Service: "s", Version: "v1"}, Retention: retention.Milliseconds(),
	}, time.Now())
}

// The stream's route has a timeout over one minute.
func TestVersionOfLongStreamForgotten(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		k := f.startHome(ctx, "first")
		bindFor(k, "1", 3*time.Minute)
		time.Sleep(61 * time.Second)
		k.Tick(time.Now())
		if diff := cmp.Diff([]string{"RESERVED", "v1"}, resume(ctx, k, "2", "1")); diff != "" {
			t.Errorf("verdict and version (-want +got):\n%s", diff)
		}
	})
}

func TestVersionOfLongStreamForgottenWithItsHome(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		bindFor(f.startHome(ctx, "first"), "1", 3*time.Minute)
		time.Sleep(61 * time.Second)
		next := f.startHome(ctx, "next")
		atNext := resume(ctx, next, "2", "1")
		time.Sleep(100 * time.Second)
		next.Tick(time.Now())
		got := [][]string{atNext, resume(ctx, next, "3", "1")}
		want := [][]string{{"RESERVED", "v1"}, {"RESERVED", "v1"}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("verdicts and versions (-want +got):\n%s", diff)
		}
	})
}

// Homes of an earlier release record no retention, and hosts of it ask for none.
func TestVersionOfShortStreamForgottenWithinOneMinute(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		k := f.startHome(ctx, "first")
		bind(k, "1")
		bindFor(k, "2", time.Second)
		time.Sleep(59 * time.Second)
		k.Tick(time.Now())
		next := f.startHome(ctx, "next")
		got := [][]string{resume(ctx, k, "3", "1"), resume(ctx, k, "4", "2"), resume(ctx, next, "5", "1"), resume(ctx, next, "6", "2")}
		want := [][]string{{"RESERVED", "v1"}, {"RESERVED", "v1"}, {"RESERVED", "v1"}, {"RESERVED", "v1"}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("verdicts and versions (-want +got):\n%s", diff)
		}
	})
}

func TestVersionKeptAfterItsRetention(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		k := f.startHome(ctx, "first")
		bindFor(k, "1", 3*time.Minute)
		time.Sleep(181 * time.Second)
		k.Tick(time.Now())
		got := [][]string{resume(ctx, k, "2", "1"), resume(ctx, f.startHome(ctx, "next"), "3", "1")}
		if diff := cmp.Diff([][]string{{"UNBOUND", ""}, {"UNBOUND", ""}}, got); diff != "" {
			t.Errorf("verdicts and versions (-want +got):\n%s", diff)
		}
	})
}
