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

// TakeDue returns only turns that were last written before the cutoff, and returns each
// of them once.
func TestTakeDue(t *testing.T) {
	var tree historian.Tree
	tree.Add(turn("young", ""), 0, start)
	tree.Add(turn("old", ""), time.Minute, start)
	var got []string
	for _, n := range tree.TakeDue(start.Add(-time.Second), start) {
		got = append(got, n.ID)
	}
	if diff := cmp.Diff([]string{"old"}, got); diff != "" || len(tree.TakeDue(start.Add(-time.Second), start)) > 0 {
		t.Errorf("due once (-want +got):\n%s", diff)
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
