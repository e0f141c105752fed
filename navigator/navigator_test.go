package navigator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/navigator"
)

// deadError is the failure of a call to a host that is dead.
type deadError struct{}

func (*deadError) Error() string { return "no connection" }

// world is some hosts and what their homes do.
type world struct {
	hosts []descriptor.Host
	// does has what a host does with a call; nil serves it.
	does map[string]func(ctx context.Context) (*messenger.BeginReply, error)
	// heard says which hosts are heard of.
	heard map[string]bool
	asked []string
}

// home is one host as a home.
type home struct {
	navigator.Home
	world *world
	name  string
}

func (h home) Begin(ctx context.Context, _ *messenger.BeginRequest) (*messenger.BeginReply, error) {
	h.world.asked = append(h.world.asked, h.name)
	if do := h.world.does[h.name]; do != nil {
		return do(ctx)
	}
	return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED}, nil
}

func (h home) Find(_ context.Context, r *messenger.FindRequest) (*messenger.FindReply, error) {
	if h.world.does[h.name] != nil {
		return nil, &deadError{}
	}
	return &messenger.FindReply{Certain: r.GetShards()}, nil
}

func newWorld(hosts int) (*world, *navigator.Navigator) {
	w := &world{heard: make(map[string]bool), does: make(map[string]func(context.Context) (*messenger.BeginReply, error))}
	for i := range hosts {
		name := fmt.Sprint("h", i)
		w.hosts = append(w.hosts, descriptor.Host{ID: name})
		w.heard[name] = true
	}
	return w, navigator.New(navigator.Config{
		Self:     "self",
		View:     func(time.Time) locator.View { return locator.View{}.WithMembers(descriptor.Members{Hosts: w.hosts}) },
		Live:     func(host string, _ time.Time) bool { return w.heard[host] },
		Open:     func(h descriptor.Host) navigator.Home { return home{world: w, name: h.ID} },
		Counters: &counter.Set{},
		Logger:   zerolog.Nop(),
	})
}

// ranked returns the hosts in the order in which they become home.
func (w *world) ranked() []string {
	var names []string
	v := locator.View{}.WithMembers(descriptor.Members{Hosts: w.hosts})
	for _, h := range v.Ranked("shard/0", time.Now()) {
		names = append(names, h.ID)
	}
	return names
}

func dead(context.Context) (*messenger.BeginReply, error) { return nil, &deadError{} }

func elsewhere(context.Context) (*messenger.BeginReply, error) {
	return &messenger.BeginReply{Verdict: messenger.BeginReply_ELSEWHERE}, nil
}

func slow(ctx context.Context) (*messenger.BeginReply, error) {
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

func TestVisit(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is what the home does, and heard whether it is heard of.
		first func(context.Context) (*messenger.BeginReply, error)
		heard bool
		// asked has the ranks of the hosts that are asked in turn.
		asked []int
		ok    bool
	}{
		{"a home that serves", nil, true, []int{0}, true},
		{"a dead one is passed over", dead, false, []int{0, 1}, true},
		{"one that falls silent is passed over", slow, false, []int{0, 1}, true},
		{"one that says that it is not home is asked again", elsewhere, true, []int{0, 0, 0, 0}, false},
		{"a slow one that is heard of stays home", slow, true, []int{0, 0, 0, 0}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, n := newWorld(3)
				ranked := w.ranked()
				w.does[ranked[0]] = c.first
				w.heard[ranked[0]] = c.heard
				_, err := n.Begin(t.Context(), &messenger.BeginRequest{})
				var want []string
				for _, i := range c.asked {
					want = append(want, ranked[i])
				}
				if diff := cmp.Diff(want, w.asked); diff != "" || (err == nil) != c.ok {
					t.Errorf("%v, asked (-want +got):\n%s", err, diff)
				}
			})
		})
	}
}

// A call waits for a time for the first host to be known, and no longer.
func TestNoHostIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, n := newWorld(0)
		began := time.Now()
		_, err := n.Begin(t.Context(), &messenger.BeginRequest{})
		var homeless *navigator.HomelessError
		if !errors.As(err, &homeless) || time.Since(began) > time.Second {
			t.Errorf("%v after %s", err, time.Since(began))
		}
	})
}

// A search is certain only where every shard was searched.
func TestSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, n := newWorld(3)
		_, found, certain := n.Search(t.Context(), "x", []int{0, 1, 2, 3, 4, 5})
		got := []bool{found, certain}
		w.does[w.ranked()[0]] = dead
		_, found, certain = n.Search(t.Context(), "x", []int{0, 1, 2, 3, 4, 5})
		got = append(got, found, certain)
		if diff := cmp.Diff([]bool{false, true, false, false}, got); diff != "" {
			t.Errorf("found and certain, before and after a death (-want +got):\n%s", diff)
		}
	})
}
