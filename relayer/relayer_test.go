package relayer_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/relayer"
	"github.com/citronpier/citronpier/standin"
)

var partition = connector.Partition{Topic: "t"}

// mirror relays reads to the store, as the Mirror of another host does.
type mirror struct {
	messenger.Mirror
	relayer.Server
}

func (m mirror) Read(ctx context.Context, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	return m.Server.Read(ctx, r)
}

func (m mirror) Newest(ctx context.Context, r *messenger.NewestRequest) (*messenger.NewestReply, error) {
	return m.Server.Newest(ctx, r)
}

// ledger relays appends to the store, as the Ledger of another host does.
type ledger struct {
	messenger.Ledger
	relayer.Server
}

func (l ledger) Append(ctx context.Context, r *messenger.AppendRequest) (*messenger.AppendReply, error) {
	return l.Server.Append(ctx, r)
}

// newRelayer returns a Relayer of the host "self". If withRelay is true, it can relay
// calls through the host "other".
func newRelayer(store *standin.Store, withRelay bool) *relayer.Relayer {
	server := relayer.Server{Direct: store.Host("other")}
	return relayer.New(relayer.Config{
		Direct: store.Host("self"),
		Relays: func() []relayer.Relay {
			if !withRelay {
				return nil
			}
			return []relayer.Relay{{Address: "other", Ledger: ledger{Server: server}, Mirror: mirror{Server: server}}}
		},
		Counters: &counter.Set{},
		Logger:   zerolog.Nop(),
	})
}

// refuseHostSelf is a fault of the store: it refuses the calls of the host "self".
func refuseHostSelf(c standin.Call) standin.Effect {
	if c.Host == "self" {
		return standin.Refuse
	}
	return standin.Done
}

// While the store refuses this host, calls are relayed through another host and
// give the same results and errors as direct calls.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &standin.Store{Fault: refuseHostSelf}
		r := newRelayer(store, true)
		appended, err := r.Append(t.Context(), partition, [][]byte{[]byte("a")}, 0)
		if diff := cmp.Diff(connector.Appended{Offset: 0, End: 1}, appended); diff != "" || err != nil {
			t.Errorf("append, %v (-want +got):\n%s", err, diff)
		}
		_, err = r.Append(t.Context(), partition, [][]byte{[]byte("b")}, 0)
		var moved *connector.EndMismatchError
		if !errors.As(err, &moved) || moved.End != 1 {
			t.Errorf("append at an outdated end: %v", err)
		}
		page, err := r.Read(t.Context(), partition, 0, 0)
		if diff := cmp.Diff([][]byte{[]byte("a")}, page.Values); diff != "" || err != nil {
			t.Errorf("read, %v (-want +got):\n%s", err, diff)
		}
		store.Trim(partition, 1)
		_, err = r.Read(t.Context(), partition, 0, 0)
		var trimmed *connector.TrimmedError
		if !errors.As(err, &trimmed) || trimmed.First != 1 {
			t.Errorf("read of trimmed records: %v", err)
		}
	})
}

// ReachesDirectly and Available follow the store's answers: a refused call makes the store
// unreachable for this host, and a later answer makes it reachable again.
func TestReachesDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &standin.Store{}
		for _, withRelay := range []bool{false, true} {
			r := newRelayer(store, withRelay)
			read := func() { _, _ = r.Read(t.Context(), partition, 0, 0) }
			store.SetFault(nil)
			read()
			got := [][]bool{{r.ReachesDirectly(time.Now()), r.Available(time.Now())}}
			store.SetFault(refuseHostSelf)
			read()
			got = append(got, []bool{r.ReachesDirectly(time.Now()), r.Available(time.Now())})
			// An unreachable store is called directly again within a second.
			store.SetFault(nil)
			time.Sleep(time.Second)
			read()
			got = append(got, []bool{r.ReachesDirectly(time.Now()), r.Available(time.Now())})
			want := [][]bool{{true, true}, {false, withRelay}, {true, true}}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("with relay %v: reaches and available (-want +got):\n%s", withRelay, diff)
			}
		}
	})
}

// If one partition fails while other partitions answer, only this partition is
// unavailable: calls to it are not relayed, and the host still reaches the store.
// Without a recent answer of another partition, the calls are relayed.
func TestPartitionUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := connector.Partition{Topic: "t", Part: 1}
		relayedCalls := 0
		store := &standin.Store{Fault: func(c standin.Call) standin.Effect {
			if c.Host == "other" {
				relayedCalls++
			}
			if c.Partition == partition {
				return standin.Refuse
			}
			return standin.Done
		}}
		r := newRelayer(store, true)
		read := func(p connector.Partition) error {
			_, err := r.Read(t.Context(), p, 0, 0)
			return err
		}
		if err := read(other); err != nil {
			t.Fatal(err)
		}
		if err := read(partition); err == nil {
			t.Error("read of an unavailable partition succeeded")
		}
		now := time.Now()
		got := []any{r.ReachesDirectly(now), r.Unavailable(partition, now), r.Unavailable(other, now), relayedCalls}
		if diff := cmp.Diff([]any{true, true, false, 0}, got); diff != "" {
			t.Errorf("reaches, unavailable, other unavailable, relayed (-want +got):\n%s", diff)
		}
		// No other partition has answered recently, so the store may be refusing this
		// host altogether.
		time.Sleep(time.Second)
		_ = read(partition)
		now = time.Now()
		got = []any{r.ReachesDirectly(now), r.Unavailable(partition, now), relayedCalls > 0}
		if diff := cmp.Diff([]any{false, false, true}, got); diff != "" {
			t.Errorf("later: reaches, unavailable, relayed (-want +got):\n%s", diff)
		}
	})
}

// tooLargeStore is a store for which each append is too large.
type tooLargeStore struct{ connector.Store }

func (tooLargeStore) Append(context.Context, connector.Partition, [][]byte, int64) (connector.Appended, error) {
	return connector.Appended{}, &connector.RefusedError{Status: http.StatusRequestEntityTooLarge}
}

// A partition counts as unavailable because an append was too large, and the append goes on
// to other hosts, whose answer does not tell that it was too large.
func TestTooLargeAppendIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &standin.Store{}
		server := relayer.Server{Direct: tooLargeStore{store.Host("other")}}
		r := relayer.New(relayer.Config{
			Direct:   tooLargeStore{store.Host("self")},
			Relays:   func() []relayer.Relay { return []relayer.Relay{{Address: "other", Ledger: ledger{Server: server}}} },
			Counters: &counter.Set{}, Logger: zerolog.Nop(),
		})
		if _, err := r.Read(t.Context(), connector.Partition{Topic: "u"}, 0, 0); err != nil {
			t.Fatal(err)
		}
		_, err := r.Append(t.Context(), partition, [][]byte{[]byte("a")}, 0)
		got := []bool{connector.IsTooLarge(err), r.Unavailable(partition, time.Now()), r.ReachesDirectly(time.Now())}
		if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
			t.Errorf("too large, unavailable, reached, %v (-want +got):\n%s", err, diff)
		}
	})
}
