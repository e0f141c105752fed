package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/keeper"
)

// appendTimes is a store whose appends take a time each and a time for their bytes.
type appendTimes struct {
	connector.Store
	each time.Duration
	// rate is the rate at which the store takes records, in bytes a second.
	rate int64
	// timeout is how long a call may take; it is lost then, and not appended.
	timeout time.Duration
	// appends counts the appends.
	appends *int
}

func (s appendTimes) Append(ctx context.Context, p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	*s.appends++
	took := s.each + time.Duration(int64(bytesOf(records))*int64(time.Second)/s.rate)
	time.Sleep(min(took, s.timeout))
	if took > s.timeout {
		return connector.Appended{}, &connector.LostError{Cause: context.DeadlineExceeded}
	}
	return s.Store.Append(ctx, p, records, at)
}

// A large turn is cut at a store that takes few appends a second, as it takes many.
func TestLargeTurnNeedsManyAppends(t *testing.T) {
	for name, c := range map[string]struct {
		each time.Duration
		rate int64
		// most is the largest number of appends of the fourth large turn.
		most int
	}{
		"fast":                      {2 * time.Millisecond, 20e6, 2},
		"slow whatever the size":    {240 * time.Millisecond, 20e6, 3},
		"slow for its bytes":        {2 * time.Millisecond, 1e6, 13},
		"slow for each append only": {600 * time.Millisecond, 1e9, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				config, appends := f.config("a"), 0
				store := limitedStore{Store: config.Store, limit: callBytes, recordLimit: recordBytes}
				config.Store = appendTimes{Store: store, each: c.each, rate: c.rate, timeout: 800 * time.Millisecond, appends: &appends}
				config.RecordBytes, config.CallBytes = recordBytes, callBytes
				a := keeper.New(ctx, config)
				var took []time.Duration
				for i := range 4 {
					if diff := cmp.Diff("recorded", outcomeOf(a.End(ctx, endRequest(fmt.Sprint("small", i), ""), time.Now()))); diff != "" {
						t.Fatalf("end of a small turn (-want +got):\n%s", diff)
					}
					appends = 0
					began := time.Now()
					if diff := cmp.Diff("recorded", outcomeOf(a.End(ctx, incompressibleTurn(fmt.Sprint(i), 3<<20), time.Now()))); diff != "" {
						t.Fatalf("end of a large turn (-want +got):\n%s", diff)
					}
					took = append(took, time.Since(began))
				}
				if appends > c.most {
					t.Errorf("a large turn took %d appends, at most %d do; the turns took %v", appends, c.most, took)
				}
				if last := took[len(took)-1]; last > 4*time.Second {
					t.Errorf("a large turn took %s", last)
				}
			})
		})
	}
}
