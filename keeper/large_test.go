package keeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// callBytes is the size limit of one append of a limitedStore.
const callBytes = 2 << 20

// limitedStore is a store that refuses appends of more than callBytes, as the platform's
// does.
type limitedStore struct{ connector.Store }

func (s limitedStore) Append(ctx context.Context, p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	size := 0
	for _, r := range records {
		size += len(r)
	}
	if size > callBytes {
		return connector.Appended{}, &connector.RefusedError{Status: http.StatusRequestEntityTooLarge, Detail: "too large"}
	}
	return s.Store.Append(ctx, p, records, at)
}

// startLimitedHome starts a Keeper with a limitedStore. limit is the limit that the Keeper
// is told.
func (f *fixture) startLimitedHome(ctx context.Context, limit int) *keeper.Keeper {
	return keeper.New(ctx, keeper.Config{
		Incarnation: "a", Store: limitedStore{f.store.Host("a")}, Partitions: partitions, RecordBytes: 256 << 10, CallBytes: limit,
		Home:           func(int, time.Time) bool { return true },
		StoreReachable: func(time.Time) bool { return true },
		Search:         func(context.Context, string, []int) ([]byte, bool, bool) { return nil, false, true },
		Counters:       &counter.Set{}, Logger: zerolog.Nop(),
	})
}

// incompressibleTurn returns a request whose input does not get smaller when compressed.
func incompressibleTurn(id string, size int) *messenger.EndRequest {
	r := endRequest(id, "")
	r.Input = make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{}).Read(r.Input)
	return r
}

// A turn that is larger than one call of the store is repeated without end, and all later
// turns of its shard are cut.
func TestTurnThatTheStoreNeverTakesBlocksNoOtherTurn(t *testing.T) {
	for _, limit := range []int{0, callBytes} {
		t.Run(fmt.Sprint("limit told ", limit), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				a := f.startLimitedHome(ctx, limit)
				limited, cancel := context.WithTimeout(ctx, 4*time.Second)
				defer cancel()
				began := time.Now()
				_, err := a.End(limited, incompressibleTurn("1", 3<<20), time.Now())
				if _, ok := err.(*keeper.TooLargeError); !ok || time.Since(began) > 0 {
					t.Errorf("end of the large turn after %v: %v", time.Since(began), err)
				}
				other := endRequest("2", "")
				other.Program = "q"
				limited, cancel = context.WithTimeout(ctx, time.Minute)
				defer cancel()
				if diff := cmp.Diff("recorded", outcomeOf(a.End(limited, other, time.Now()))); diff != "" {
					t.Errorf("end of the other program's turn (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Turns that the store takes are cut, because they wait together with others and their
// append is larger than one call of the store.
func TestTurnsThatAreTooLargeTogetherAreRecorded(t *testing.T) {
	for _, limit := range []int{0, callBytes} {
		t.Run(fmt.Sprint("limit told ", limit), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				a := f.startLimitedHome(ctx, limit)
				if diff := cmp.Diff("recorded", outcomeOf(a.End(ctx, endRequest("first", ""), time.Now()))); diff != "" {
					t.Fatalf("end (-want +got):\n%s", diff)
				}
				f.store.SetFault(refuseAppends)
				sizes := []int{10, 900 << 10, 1900 << 10, 3 << 20, 10, 1900 << 10, 10}
				outcomes := make([]string, len(sizes))
				for i, size := range sizes {
					go func() {
						limited, cancel := context.WithTimeout(ctx, 10*time.Second)
						defer cancel()
						_, err := a.End(limited, incompressibleTurn(fmt.Sprint("t", i), size), time.Now())
						outcomes[i] = fmt.Sprintf("%T", err)
					}()
				}
				time.Sleep(time.Second)
				f.store.SetFault(nil)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				want := []string{"<nil>", "<nil>", "<nil>", "*keeper.TooLargeError", "<nil>", "<nil>", "<nil>"}
				if diff := cmp.Diff(want, outcomes); diff != "" {
					t.Errorf("errors of the turns (-want +got):\n%s", diff)
				}
			})
		})
	}
}
