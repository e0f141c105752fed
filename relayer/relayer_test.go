package relayer_test

import (
	"context"
	"errors"
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

// mirror answers as another host's Mirror.
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

// ledger answers as another host's Ledger.
type ledger struct {
	messenger.Ledger
	relayer.Server
}

func (l ledger) Append(ctx context.Context, r *messenger.AppendRequest) (*messenger.AppendReply, error) {
	return l.Server.Append(ctx, r)
}

// newRelayer returns a host's way to a store, with another host to go through.
func newRelayer(store *standin.Store, others bool) *relayer.Relayer {
	server := relayer.Server{Direct: store.Host("other")}
	return relayer.New(relayer.Config{
		Direct: store.Host("self"),
		Relays: func(time.Time) []relayer.Relay {
			if !others {
				return nil
			}
			return []relayer.Relay{{Address: "other", Ledger: ledger{Server: server}, Mirror: mirror{Server: server}}}
		},
		Counters: &counter.Set{},
		Logger:   zerolog.Nop(),
	})
}

// refuseSelf has the store refuse one host.
func refuseSelf(c standin.Call) standin.Effect {
	if c.Host == "self" {
		return standin.Refuse
	}
	return standin.Done
}

// A store that refuses this host is reached through another one, with the same
// answers.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &standin.Store{Fault: refuseSelf}
		r := newRelayer(store, true)
		appended, err := r.Append(t.Context(), partition, [][]byte{[]byte("a")}, 0)
		if diff := cmp.Diff(connector.Appended{Offset: 0, End: 1}, appended); diff != "" || err != nil {
			t.Errorf("append, %v (-want +got):\n%s", err, diff)
		}
		_, err = r.Append(t.Context(), partition, [][]byte{[]byte("b")}, 0)
		var moved *connector.MovedError
		if !errors.As(err, &moved) || moved.End != 1 {
			t.Errorf("append at an old end: %v", err)
		}
		page, err := r.Read(t.Context(), partition, 0, 0)
		if diff := cmp.Diff([][]byte{[]byte("a")}, page.Values); diff != "" || err != nil {
			t.Errorf("read, %v (-want +got):\n%s", err, diff)
		}
		store.Trim(partition, 1)
		_, err = r.Read(t.Context(), partition, 0, 0)
		var trimmed *connector.TrimmedError
		if !errors.As(err, &trimmed) || trimmed.First != 1 {
			t.Errorf("read of records that are gone: %v", err)
		}
	})
}

// What the store is believed to be follows its answers.
func TestBelief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &standin.Store{}
		for _, others := range []bool{false, true} {
			r := newRelayer(store, others)
			read := func() { _, _ = r.Read(t.Context(), partition, 0, 0) }
			store.SetFault(nil)
			read()
			got := [][]bool{{r.Reaches(time.Now()), r.Available(time.Now())}}
			store.SetFault(refuseSelf)
			read()
			got = append(got, []bool{r.Reaches(time.Now()), r.Available(time.Now())})
			// A store that was lost is tried again before long.
			store.SetFault(nil)
			time.Sleep(time.Second)
			read()
			got = append(got, []bool{r.Reaches(time.Now()), r.Available(time.Now())})
			want := [][]bool{{true, true}, {false, others}, {true, true}}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("others %v: reaches and available (-want +got):\n%s", others, diff)
			}
		}
	})
}

// A partition that fails while others answer is told from a store that is lost:
// no other host is asked for it, and the host still reaches the store.
func TestPartitionAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := connector.Partition{Topic: "t", Part: 1}
		relayed := 0
		store := &standin.Store{Fault: func(c standin.Call) standin.Effect {
			if c.Host == "other" {
				relayed++
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
			t.Error("a partition that is away was read")
		}
		now := time.Now()
		got := []any{r.Reaches(now), r.Away(partition, now), r.Away(other, now), relayed}
		if diff := cmp.Diff([]any{true, true, false, 0}, got); diff != "" {
			t.Errorf("reaches, away, other away, relayed (-want +got):\n%s", diff)
		}
		// With no other answer of late it may be the host that is refused.
		time.Sleep(time.Second)
		_ = read(partition)
		now = time.Now()
		got = []any{r.Reaches(now), r.Away(partition, now), relayed > 0}
		if diff := cmp.Diff([]any{false, false, true}, got); diff != "" {
			t.Errorf("later: reaches, away, relayed (-want +got):\n%s", diff)
		}
	})
}
