package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A large turn is run and cut, as its records have just the size that the store refuses.
func TestLargeTurnIsCutForTheSizeOfItsRecords(t *testing.T) {
	for name, limit := range map[string]int{
		"lengths count":                recordBytes,
		"records of 255 KiB":           255 << 10,
		"records of 100 KiB":           100 << 10,
		"the smallest records allowed": 1 << 10,
	} {
		for _, told := range []int{0, callBytes} {
			t.Run(fmt.Sprint(name, ", limit told ", told), func(t *testing.T) {
				runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
					home := platformHome("a", told)
					home.recordLimit = limit
					a := f.startLimitedHome(ctx, home)
					limited, cancel := context.WithTimeout(ctx, 4*time.Second)
					defer cancel()
					r := incompressibleTurn("1", 3<<20)
					if diff := cmp.Diff("recorded", outcomeOf(a.End(limited, r, time.Now()))); diff != "" {
						t.Fatalf("end (-want +got):\n%s", diff)
					}
					f.checkWhole(ctx, t, told, "1", wholeTurn(r))
				})
			})
		}
	}
}

// A home that has taken a refused record for a refused call divides all later turns into single
// records.
func TestCallsStaySmallAfterRecordWasRefused(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		home := platformHome("a", callBytes)
		home.recordLimit = recordBytes / 2
		a := f.startLimitedHome(ctx, home)
		const mostCalls = 7
		var calls []int
		for _, id := range []string{"1", "2"} {
			before := f.store.Calls()
			if diff := cmp.Diff("recorded", outcomeOf(a.End(ctx, incompressibleTurn(id, 3<<20), time.Now()))); diff != "" {
				t.Fatalf("end (-want +got):\n%s", diff)
			}
			calls = append(calls, f.store.Calls()-before)
		}
		if calls[1] > mostCalls {
			t.Errorf("the second turn took %d calls, at most %d do", calls[1], mostCalls)
		}
	})
}
