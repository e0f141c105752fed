package gossiper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/messenger"
)

// sizes are today's deployments and the size that the system is designed for, with the
// time in which all hosts must see the failure of a host, and the number of seeds played.
var sizes = []struct {
	name   string
	hosts  int
	seenIn time.Duration
	seeds  uint64
}{
	{"7", 7, time.Second, 20},
	{"43", 43, time.Second, 20},
	{"140", 140, time.Second, 20},
	{"730", 730, 2 * time.Second, 1},
}

// startTime is the time in which hosts that start together must know each other: a
// quarter of the shortest time that a deployment gives the system to recover.
const startTime = 3 * time.Second

// controlBytes is the bound for what a host sends for control, in bytes a second.
const controlBytes = 8000

// All hosts start at the same time, know three seeds, and see all others soon. What
// they send then stays within the bound for control, with load reports on ten upstreams
// each. When one host loses power, all others see it in time and declare no other host
// dead.
func TestFleet(t *testing.T) {
	for _, s := range sizes {
		t.Run(s.name, func(t *testing.T) {
			if testing.Short() && s.hosts > 140 {
				t.Skip("takes half a minute with the race detector")
			}
			t.Parallel()
			for seed := range s.seeds {
				playFailure(t, s.hosts, seed+1, s.seenIn)
			}
		})
	}
}

// playFailure plays a fleet in which one host fails, and checks what TestFleet says.
func playFailure(t *testing.T, hosts int, seed uint64, seenIn time.Duration) {
	t.Helper()
	f := newFleet(hosts, seed)
	if took := f.settled(startTime, allLive); took >= startTime {
		t.Fatalf("seed %d: not all hosts saw all others in %s", seed, startTime)
	}
	f.run(time.Second)
	checkTraffic(t, f)
	const victim = 5
	f.down[victim] = true
	took := f.settled(seenIn, func(_, other int, live bool) bool { return live == (other != victim) })
	if took >= seenIn {
		t.Errorf("seed %d: the failure was not seen by all in %s", seed, seenIn)
	}
	if diff := cmp.Diff(map[string]int{address(victim): hosts - 1}, f.deaths); diff != "" {
		t.Errorf("seed %d: hosts declared dead (-want +got):\n%s", seed, diff)
	}
}

// checkTraffic compares what the hosts of a fleet send in two seconds with the bound.
func checkTraffic(t *testing.T, f *fleet) {
	t.Helper()
	var running []*messenger.Running
	for i := range 10 {
		running = append(running, &messenger.Running{Upstream: uint64(i) << 60, Requests: 3})
	}
	for _, d := range f.hosts {
		d.SetLoad(running, nil)
	}
	f.datagrams, f.bytes = 0, 0
	const seconds = 2
	f.run(seconds * time.Second)
	hosts := len(f.hosts)
	t.Logf("%d datagrams and %d bytes a second and host", f.datagrams/seconds/hosts, f.bytes/seconds/hosts)
	if got := f.bytes / seconds / hosts; got > controlBytes {
		t.Errorf("%d bytes a second and host, want at most %d", got, controlBytes)
	}
}

// Datagrams are lost now and then. No host is declared dead for it.
func TestLossKillsNobody(t *testing.T) {
	f := newFleet(140, 2)
	f.run(2 * time.Second)
	clear(f.deaths)
	f.loss = 0.03
	f.run(20 * time.Second)
	if diff := cmp.Diff(map[string]int{}, f.deaths); diff != "" {
		t.Errorf("hosts declared dead (-want +got):\n%s", diff)
	}
}

// A host that some of the others can't reach is not declared dead: the rest can.
func TestCutOffFromAFew(t *testing.T) {
	f := newFleet(140, 3)
	f.run(2 * time.Second)
	clear(f.deaths)
	const victim, unreached = 50, 14
	f.cut = func(from, to int) bool {
		return (from == victim && to < unreached) || (to == victim && from < unreached)
	}
	f.run(20 * time.Second)
	if diff := cmp.Diff(map[string]int{}, f.deaths); diff != "" {
		t.Errorf("hosts declared dead (-want +got):\n%s", diff)
	}
}

// A process that stands still for some seconds declares nobody dead when it goes on,
// and is live again for all others soon.
func TestPausedHost(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		f := newFleet(43, 4)
		f.run(2 * time.Second)
		clear(f.deaths)
		f.frozen[7] = f.now.Add(pause)
		f.run(pause)
		if took := f.settled(time.Second, allLive); took >= time.Second {
			t.Errorf("after a pause of %s the host is not live for all in a second", pause)
		}
		delete(f.deaths, address(7))
		if diff := cmp.Diff(map[string]int{}, f.deaths); diff != "" {
			t.Errorf("other hosts declared dead after a pause of %s (-want +got):\n%s", pause, diff)
		}
	}
}

// A host with too little processor time runs late all the time. It is not declared
// dead and declares no other host dead.
func TestSlowHost(t *testing.T) {
	f := newFleet(43, 5)
	f.run(2 * time.Second)
	clear(f.deaths)
	f.late[7] = 90 * time.Millisecond
	f.late[8] = 250 * time.Millisecond
	f.run(20 * time.Second)
	if diff := cmp.Diff(map[string]int{}, f.deaths); diff != "" {
		t.Errorf("hosts declared dead (-want +got):\n%s", diff)
	}
}

// A third of the hosts is cut off. Both sides find each other again when the network
// heals.
func TestPartitionHeals(t *testing.T) {
	for _, hosts := range []int{7, 140} {
		f := newFleet(hosts, 6)
		f.run(2 * time.Second)
		side := func(i int) bool { return i < hosts/3 }
		f.cut = func(from, to int) bool { return side(from) != side(to) }
		took := f.settled(3*time.Second, func(a, b int, live bool) bool { return live == (side(a) == side(b)) })
		if took >= 3*time.Second {
			t.Errorf("%d hosts: the partition was not seen in 3 s", hosts)
		}
		f.run(10 * time.Second)
		f.cut = nil
		if took := f.settled(3*time.Second, allLive); took >= 3*time.Second {
			t.Errorf("%d hosts: not all live 3 s after the partition", hosts)
		}
	}
}

// All hosts but one lose power at the same time and start again.
func TestAllRestart(t *testing.T) {
	f := newFleet(140, 7)
	f.run(2 * time.Second)
	for i := 1; i < 140; i++ {
		f.down[i] = true
	}
	f.run(time.Second)
	for i := 1; i < 140; i++ {
		f.start(i, 2)
	}
	if took := f.settled(2*time.Second, allLive); took >= 2*time.Second {
		t.Error("not all hosts are live 2 s after the start")
	}
}

// A host restarts while its clock is behind, so that the version of its state is lower
// than before. It is live for all all the same, and its new incarnation is known.
func TestRestartWithLowerVersion(t *testing.T) {
	f := newFleet(43, 8)
	f.start(9, 3)
	f.run(2 * time.Second)
	f.down[9] = true
	f.run(300 * time.Millisecond)
	f.start(9, 2)
	incarnation := f.hosts[9].self.GetIncarnation()
	took := f.settled(2*time.Second, func(a, b int, live bool) bool {
		return b != 9 || (live && f.hosts[a].table.Peer(address(9)).Member.GetIncarnation() == incarnation)
	})
	if took >= 2*time.Second {
		t.Error("the restarted host is not known to all in 2 s")
	}
}

// A host that starts to leave, or turns ready, is known as such by all within the time
// of a few rounds of news.
func TestNewsSpreads(t *testing.T) {
	f := newFleet(140, 9)
	f.run(2 * time.Second)
	self := &messenger.Member{
		Incarnation: f.hosts[3].self.GetIncarnation(), Datacentre: "dc3", Caller: address(3), Leaving: true,
	}
	f.hosts[3].SetSelf(self, 7)
	f.send(3, f.hosts[3].Flush(f.now))
	took := f.settled(400*time.Millisecond, func(a, b int, _ bool) bool {
		return b != 3 || f.hosts[a].table.Peer(address(3)).Member.GetLeaving()
	})
	if took >= 400*time.Millisecond {
		t.Error("not all hosts know in 400 ms that a host is leaving")
	}
}
