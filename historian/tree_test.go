package historian_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/historian"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func turn(id, previous string) historian.Turn {
	return historian.Turn{
		ID: id, Previous: previous, Input: []byte("in-" + id + ";"), Output: []byte("out-" + id + "\n"),
		Retention: time.Minute,
	}
}

func TestChain(t *testing.T) {
	var tree historian.Tree
	for _, n := range []historian.Turn{turn("a", ""), turn("b", "a"), turn("c", "a"), turn("orphan", "unknown")} {
		tree.Add(n, 0, start)
	}
	for _, c := range []struct {
		id   string
		want string
		ok   bool
	}{
		{"a", "in-a;out-a\n", true},
		{"b", "in-a;out-a\nin-b;out-b\n", true},
		{"c", "in-a;out-a\nin-c;out-c\n", true},
		{"orphan", "", false},
		{"none", "", false},
	} {
		got, ok := tree.Chain(c.id)
		if diff := cmp.Diff(c.want, string(got)); diff != "" || ok != c.ok || tree.HasChain(c.id) != c.ok {
			t.Errorf("chain of %s: ok %v (-want +got):\n%s", c.id, ok, diff)
		}
	}
}

func TestAddTwice(t *testing.T) {
	var tree historian.Tree
	if !tree.Add(turn("a", ""), 0, start) || tree.Add(turn("a", ""), 0, start) {
		t.Error("Add must report a turn as new the first time only")
	}
}

// A turn is kept as long as the newest turn that continues it.
func TestPruneKeepsChains(t *testing.T) {
	var tree historian.Tree
	tree.Add(turn("a", ""), 0, start)
	tree.Add(turn("old", ""), 0, start)
	tree.Add(turn("b", "a"), 0, start.Add(50*time.Second))
	tree.Prune(start.Add(100 * time.Second))
	if _, ok := tree.Chain("b"); !ok || tree.Has("old") {
		t.Errorf("chain of b is kept: %v, old is kept: %v", ok, tree.Has("old"))
	}
	tree.Prune(start.Add(111 * time.Second))
	if diff := cmp.Diff(0, tree.Len()); diff != "" || tree.Bytes() != 0 {
		t.Errorf("after the retention, %d bytes (-want +got):\n%s", tree.Bytes(), diff)
	}
}

// Due returns only turns that were last written before the cutoff, the oldest first, and
// returns each of them until it is written again.
func TestDue(t *testing.T) {
	var tree historian.Tree
	tree.Add(turn("young", ""), 0, start)
	tree.Add(turn("old", ""), time.Minute, start)
	tree.Add(turn("oldest", ""), time.Hour, start)
	due := func() (ids []string) {
		for _, n := range tree.Due(start.Add(-time.Second)) {
			ids = append(ids, n.ID)
		}
		return ids
	}
	got := [][]string{due(), due()}
	tree.Add(turn("oldest", ""), 0, start)
	got = append(got, due())
	tree.Add(turn("old", ""), 0, start)
	got = append(got, due())
	want := [][]string{{"oldest", "old"}, {"oldest", "old"}, {"old"}, nil}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("turns that are due (-want +got):\n%s", diff)
	}
}

// A turn may be added after the turn that continues it, for example after a
// rewrite. The earlier turn is then part of the chain, and is kept as long as the
// later turn.
func TestLateParent(t *testing.T) {
	var tree historian.Tree
	tree.Add(turn("b", "a"), 0, start.Add(50*time.Second))
	tree.Add(turn("a", ""), 0, start)
	tree.Prune(start.Add(100 * time.Second))
	got, ok := tree.Chain("b")
	if diff := cmp.Diff("in-a;out-a\nin-b;out-b\n", string(got)); diff != "" || !ok {
		t.Errorf("chain, %v (-want +got):\n%s", ok, diff)
	}
}

// A record with the whole chain of a known turn completes the turn if turns before it are
// lost, and changes nothing otherwise.
func TestWholeChainOfKnownTurn(t *testing.T) {
	whole := historian.Turn{ID: "b", Input: []byte("in-a;out-a\nin-b;out-b\n"), Retention: time.Minute}
	for _, known := range [][]historian.Turn{{turn("b", "a")}, {turn("a", ""), turn("b", "a")}} {
		var tree historian.Tree
		for _, n := range known {
			tree.Add(n, 0, start)
		}
		tree.Add(whole, 0, start)
		got, ok := tree.Chain("b")
		if diff := cmp.Diff(string(whole.Input), string(got)); diff != "" || !ok || tree.Len() != len(known) || tree.Bytes() != int64(len(got)) {
			t.Errorf("chain, %v, %d turns, %d bytes (-want +got):\n%s", ok, tree.Len(), tree.Bytes(), diff)
		}
	}
}

// Keep keeps a chain, including turns of it that are added later.
func TestKeep(t *testing.T) {
	var tree historian.Tree
	tree.Add(turn("b", "a"), 0, start)
	tree.Keep("b", start.Add(2*time.Minute))
	tree.Add(turn("a", ""), 0, start)
	tree.Prune(start.Add(2 * time.Minute))
	if !tree.HasChain("b") {
		t.Error("the chain was dropped before its time")
	}
	tree.Prune(start.Add(2*time.Minute + time.Second))
	if diff := cmp.Diff(0, tree.Len()); diff != "" {
		t.Errorf("turns after that time (-want +got):\n%s", diff)
	}
}
