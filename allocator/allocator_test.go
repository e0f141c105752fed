package allocator_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/allocator"
)

// Endless responses take all memory, or leave none for a normal one.
func TestGrantsShareThePool(t *testing.T) {
	const size, step = 64 << 20, 4 << 10
	for _, endless := range []int{1, 10, 200} {
		pool := &allocator.Pool{Bytes: size}
		grants := make([]*allocator.Grant, endless)
		for i := range grants {
			grants[i] = pool.Grant()
		}
		for bytes := int64(step); bytes < size; bytes += step {
			for _, g := range grants {
				_ = g.Resize(bytes)
			}
		}
		if used := pool.Used(); used > size {
			t.Errorf("%d grants hold %d bytes of %d", endless, used, size)
		}
		normal := pool.Grant()
		if err := normal.Resize(size / int64(2*(endless+1))); err != nil {
			t.Errorf("beside %d grants: %v", endless, err)
		}
		for _, g := range append(grants, normal) {
			g.Release()
		}
		if diff := cmp.Diff(int64(0), pool.Used()); diff != "" {
			t.Errorf("used after the release (-want +got):\n%s", diff)
		}
	}
}

// A grant that is refused or released holds a wrong amount.
func TestPoolCountsWhatGrantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 1 << 20
		pool := &allocator.Pool{Bytes: size}
		grants := []*allocator.Grant{pool.Grant(), pool.Grant(), pool.Grant()}
		held := make([]int64, len(grants))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(grants)-1).Draw(t, "grant")
			bytes := rapid.Int64Range(0, size).Draw(t, "bytes")
			err := grants[i].Resize(bytes)
			var exhausted *allocator.ExhaustedError
			switch {
			case err == nil:
				held[i] = bytes
			case !errors.As(err, &exhausted) || bytes <= held[i] || bytes <= allocator.MinGrantBytes:
				t.Fatalf("resize from %d to %d: %v", held[i], bytes, err)
			}
			sum := int64(0)
			for _, h := range held {
				sum += h
			}
			if diff := cmp.Diff(sum, pool.Used()); diff != "" {
				t.Fatalf("used (-want +got):\n%s", diff)
			}
			if sum > size+int64(len(grants))*allocator.MinGrantBytes {
				t.Fatalf("%d bytes of %d are held", sum, size)
			}
		}
	})
}

// A Grant without a Pool refuses.
func TestGrantOfNoPoolIsUnlimited(t *testing.T) {
	var pool *allocator.Pool
	if err := pool.Grant().Resize(1 << 40); err != nil {
		t.Error(err)
	}
}
