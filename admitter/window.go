package admitter

import "time"

const (
	// windowBuckets and bucketTime set the window of a minimum: one second.
	windowBuckets = 4
	bucketTime    = 250 * time.Millisecond
)

// window keeps the least of the durations that were measured within the last second. It is
// immutable, and the zero value has none.
type window struct{ buckets [windowBuckets]bucket }

// bucket has the durations of one bucketTime.
type bucket struct {
	// index is the number of the bucketTime since the start of the host.
	index int64
	count int
	least time.Duration
}

// With returns w with one more duration, measured at a time since the start of the host.
func (w window) With(d, at time.Duration) window {
	index := int64(at / bucketTime)
	b := &w.buckets[index%windowBuckets]
	if b.index != index || b.count == 0 {
		*b = bucket{index: index, least: d}
	}
	b.count++
	b.least = min(b.least, d)
	return w
}

// Least returns the least duration within the window that ends at a time since the start of the
// host, and the number of durations.
func (w window) Least(at time.Duration) (least time.Duration, count int) {
	oldest := int64(at/bucketTime) - windowBuckets + 1
	for _, b := range w.buckets {
		if b.count == 0 || b.index < oldest {
			continue
		}
		if count == 0 || b.least < least {
			least = b.least
		}
		count += b.count
	}
	return least, count
}
