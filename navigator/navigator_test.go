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

// deadError is the error of a call to a host that has crashed.
type deadError struct{}

func (*deadError) Error() string { return "no connection" }

// cluster simulates several hosts that are homes of shards, and records the calls to
// these hosts.
type cluster struct {
	hosts []descriptor.Host
	// beginBy maps the id of a host to its implementation of Begin. A host without an
	// entry reserves the budget. A host with an entry fails calls of Find.
	beginBy map[string]func(ctx context.Context) (*messenger.BeginReply, error)
	// live holds the ids of the hosts whose heartbeats arrive.
	live map[string]bool
	// called lists the hosts whose Begin was called, in order.
	called []string
}

// home implements navigator.Home for one host of a cluster.
type home struct {
	navigator.Home
	cluster *cluster
	host    string
}

func (h home) Begin(ctx context.Context, _ *messenger.BeginRequest) (*messenger.BeginReply, error) {
	h.cluster.called = append(h.cluster.called, h.host)
	if do := h.cluster.beginBy[h.host]; do != nil {
		return do(ctx)
	}
	return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED}, nil
}

func (h home) Find(_ context.Context, r *messenger.FindRequest) (*messenger.FindReply, error) {
	if h.cluster.beginBy[h.host] != nil {
		return nil, &deadError{}
	}
	return &messenger.FindReply{Certain: r.GetShards()}, nil
}

func newCluster(hosts int) (*cluster, *navigator.Navigator) {
	c := &cluster{live: make(map[string]bool), beginBy: make(map[string]func(context.Context) (*messenger.BeginReply, error))}
	for i := range hosts {
		name := fmt.Sprint("h", i)
		c.hosts = append(c.hosts, descriptor.Host{ID: name})
		c.live[name] = true
	}
	return c, c.navigator(func(h home) navigator.Home { return h })
}

// navigator returns a Navigator that calls the homes which open returns for those of the cluster.
func (c *cluster) navigator(open func(h home) navigator.Home) *navigator.Navigator {
	return navigator.New(navigator.Config{
		Self:     "self",
		View:     func(time.Time) locator.View { return locator.View{}.WithMembers(descriptor.Members{Hosts: c.hosts}) },
		Live:     func(host string) bool { return c.live[host] },
		Open:     func(h descriptor.Host) navigator.Home { return open(home{cluster: c, host: h.ID}) },
		Counters: &counter.Set{},
		Logger:   zerolog.Nop(),
	})
}

// ranked returns the host ids in hash order for shard 0, the home first.
func (c *cluster) ranked() []string {
	var names []string
	v := locator.View{}.WithMembers(descriptor.Members{Hosts: c.hosts})
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

// Begin calls the home first and, if the home is no longer live, the next host in
// hash order. A home that is live but slow is not replaced.
func TestHostsCalledByBegin(t *testing.T) {
	for _, tc := range []struct {
		name string
		// beginAtHome is how the home answers Begin, and live is whether heartbeats
		// of the home arrive.
		beginAtHome func(context.Context) (*messenger.BeginReply, error)
		live        bool
		// wantRanks lists the hosts to be called, by their position in hash order.
		wantRanks []int
		// wantReply is whether Begin succeeds.
		wantReply bool
	}{
		{"a working home is called once", nil, true, []int{0}, true},
		{"a crashed home is replaced", dead, false, []int{0, 1}, true},
		{"a home whose heartbeats stop is replaced", slow, false, []int{0, 1}, true},
		{"a home that denies being home is called again", elsewhere, true, []int{0, 0, 0, 0}, false},
		{"a slow but live home is called again", slow, true, []int{0, 0, 0, 0}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, n := newCluster(3)
				ranked := c.ranked()
				c.beginBy[ranked[0]] = tc.beginAtHome
				c.live[ranked[0]] = tc.live
				_, err := n.Begin(t.Context(), &messenger.BeginRequest{})
				var want []string
				for _, rank := range tc.wantRanks {
					want = append(want, ranked[rank])
				}
				if diff := cmp.Diff(want, c.called); diff != "" || (err == nil) != tc.wantReply {
					t.Errorf("error %v, called hosts (-want +got):\n%s", err, diff)
				}
			})
		})
	}
}

// While no host is known, a call waits for a limited time and then fails.
func TestNoKnownHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, n := newCluster(0)
		began := time.Now()
		_, err := n.Begin(t.Context(), &messenger.BeginRequest{})
		var noHome *navigator.NoHomeError
		if !errors.As(err, &noHome) || time.Since(began) > time.Second {
			t.Errorf("%v after %s", err, time.Since(began))
		}
	})
}

// A search that finds nothing is certain only if every shard was searched, which is
// no longer possible once a host has crashed.
func TestSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, n := newCluster(3)
		_, found, certain := n.Search(t.Context(), "x", []int{0, 1, 2, 3, 4, 5})
		got := []bool{found, certain}
		c.beginBy[c.ranked()[0]] = dead
		_, found, certain = n.Search(t.Context(), "x", []int{0, 1, 2, 3, 4, 5})
		got = append(got, found, certain)
		if diff := cmp.Diff([]bool{false, true, false, false}, got); diff != "" {
			t.Errorf("found and certain, before and after a host crashes (-want +got):\n%s", diff)
		}
	})
}
