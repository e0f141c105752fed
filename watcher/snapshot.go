package watcher

import (
	"time"

	"github.com/citronpier/citronpier/connector"
)

// snapshotMaxAge is the age up to which the records of a partition are passed on to other
// hosts, which then follow the partition themselves. It is above the age that they reach while
// the store answers: a read waits for configurationWait.
const snapshotMaxAge = 3 * time.Second

// snapshot holds the newest record of each key of a partition that is followed.
type snapshot struct {
	items map[string]connector.Item
	// end is the offset of the next record to read.
	end int64
	// confirmedAt is the uptime at which the records were known to be the newest.
	confirmedAt time.Duration
}

// Followed returns the newest record of each key of a partition, and true, if this
// Watcher follows the partition and its records were confirmed recently.
func (w *Watcher) Followed(p connector.Partition) (connector.Newest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.followed[p]
	if !ok || w.config.Uptime()-s.confirmedAt > snapshotMaxAge {
		return connector.Newest{}, false
	}
	newest := connector.Newest{End: s.end}
	for _, item := range s.items {
		newest.Items = append(newest.Items, item)
	}
	return newest, true
}

// keepNewest replaces the records of a partition.
func (w *Watcher) keepNewest(p connector.Partition, newest connector.Newest, confirmedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &snapshot{items: make(map[string]connector.Item), end: newest.End, confirmedAt: confirmedAt}
	for _, item := range newest.Items {
		s.items[item.Key] = item
	}
	w.followed[p] = s
}

// keepRecord adds the record at the end of a partition that was read. A record without a
// value deletes its key, and a malformed one changes only the end.
func (w *Watcher) keepRecord(p connector.Partition, item connector.Item, wellFormed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.followed[p]
	if !ok {
		return
	}
	s.end = item.Offset + 1
	switch {
	case !wellFormed:
	case len(item.Value) == 0:
		delete(s.items, item.Key)
	default:
		s.items[item.Key] = item
	}
}

// renewSnapshot records the uptime at which the records of a partition were the newest.
func (w *Watcher) renewSnapshot(p connector.Partition, confirmedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.followed[p]; ok {
		s.confirmedAt = max(s.confirmedAt, confirmedAt)
	}
}
