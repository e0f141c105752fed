package locator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/locator"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// view returns a view of the given number of hosts, spread over three data
// centres.
func view(hosts int) locator.View {
	var m descriptor.Members
	for i := range hosts {
		m.Hosts = append(m.Hosts, descriptor.Host{ID: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3)})
	}
	return locator.View{}.WithMembers(m)
}

// keys is the number of keys whose homes the tests look up.
const keys = 10_000

// Keys are spread evenly: the number of keys of each host is within 20 % of the
// mean.
func TestHomesAreEven(t *testing.T) {
	v := view(10)
	count := make(map[string]int)
	for i := range keys {
		h, _ := v.Home(locator.KeyHash(fmt.Sprint(i)), now)
		count[h.ID]++
	}
	for host, n := range count {
		if n < keys/10*8/10 || n > keys/10*12/10 {
			t.Errorf("%s is home of %d of %d keys", host, n, keys)
		}
	}
}

// When a host fails, only its keys get a new home: the next host in hash order.
func TestOnlyLostHomesMove(t *testing.T) {
	v := view(10)
	without := v.WithSuspect("host-3", now.Add(time.Second))
	for i := range keys {
		key := locator.KeyHash(fmt.Sprint(i))
		before, _ := v.Home(key, now)
		after, _ := without.Home(key, now)
		if before.ID != "host-3" && before != after {
			t.Fatalf("key %s moved from %s to %s", key, before.ID, after.ID)
		}
		if after.ID == "host-3" {
			t.Fatalf("home of key %s is still the failed host", key)
		}
		if next := v.Ranked(key, now); before.ID == "host-3" && after != next[1] {
			t.Fatalf("key %s moved to %s, not to the next host in hash order", key, after.ID)
		}
	}
}

// A suspected host is avoided until the given time, or until WithoutSuspect. A
// suspected host remains the home if it is the only host.
func TestSuspicionEnds(t *testing.T) {
	v := view(1).WithSuspect("host-0", now.Add(time.Second))
	if _, ok := v.Home("k", now); !ok {
		t.Error("no home although there is one host, a suspect")
	}
	v = view(2).WithSuspect("host-0", now.Add(time.Second))
	got := []int{len(v.Live(now)), len(v.Live(now.Add(time.Second))), len(v.WithoutSuspect("host-0").Live(now))}
	if diff := cmp.Diff([]int{1, 2, 2}, got); diff != "" {
		t.Errorf("live hosts (-want +got):\n%s", diff)
	}
}

// The home of an upstream is in the upstream's data centre, unless all hosts there
// are suspected.
func TestUpstreamHomeIsNear(t *testing.T) {
	v := view(9)
	u := descriptor.Upstream{ID: "engine-1", DataCentre: "dc-2"}
	h, _ := v.UpstreamHome(u, now)
	if diff := cmp.Diff("dc-2", h.DataCentre); diff != "" {
		t.Errorf("data centre (-want +got):\n%s", diff)
	}
	for i := range 9 {
		if i%3 == 2 {
			v = v.WithSuspect(fmt.Sprintf("host-%d", i), now.Add(time.Second))
		}
	}
	if h, ok := v.UpstreamHome(u, now); !ok || h.DataCentre == "dc-2" {
		t.Errorf("home is %s, want a host outside the data centre whose hosts are all suspected", h.ID)
	}
}
