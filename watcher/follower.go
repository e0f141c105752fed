package watcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/citronpier/citronpier/connector"
)

// change is one record, a key and a value, read from the store. An empty value
// removes the key.
type change struct {
	key    string
	value  []byte
	offset int64
	// readAt is when the record was read.
	readAt time.Time
	// usableUntil is the time until which an upstream that this change removes
	// stays usable; zero means that the upstream is unusable at once.
	usableUntil time.Time
}

// follower reads one partition in which a record replaces all earlier records with
// the same key: first the newest record of each key, then the records that are
// appended. It is used by one goroutine.
type follower struct {
	watcher   *Watcher
	partition connector.Partition
	// apply is called for each record.
	apply func(change)
	// confirm is called with an uptime at which the records applied so far were the newest; nil
	// if nobody asks.
	confirm func(at time.Duration)
	// removeAbsent is called after the newest record of each key was read; present
	// has the keys that have a record. It is nil if absent keys need no removal.
	removeAbsent func(present map[string]bool, offset int64, usableUntil, now time.Time)
	// nextOffset is the offset of the next record to read. It is valid only while
	// snapshotRead is true.
	nextOffset int64
	// snapshotRead is true once the newest record of each key has been read.
	snapshotRead bool
	// lastAnswer is when the store last answered; zero before the first answer.
	lastAnswer time.Time
	// usableUntil is the time until which upstreams that are removed stay usable,
	// because an outage may have made their records expire.
	usableUntil time.Time
}

// readOnce reads from the store once and applies the new records. If there are no new
// records, the read waits for up to the duration wait.
func (f *follower) readOnce(ctx context.Context, wait time.Duration) error {
	if !f.snapshotRead {
		return f.readNewest(ctx)
	}
	asked := f.watcher.config.Uptime()
	page, err := f.watcher.config.Store.Read(ctx, f.partition, f.nextOffset, wait)
	var trimmed *connector.TrimmedError
	if errors.As(err, &trimmed) {
		f.watcher.config.Logger.Info().Stringer("partition", f.partition).Int64("from", f.nextOffset).
			Int64("first", trimmed.First).Msg("records were trimmed, reading the newest record of each key")
		return f.readNewest(ctx)
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", f.partition, err)
	}
	now := time.Now()
	f.recordAnswer(now)
	for _, record := range page.Values {
		f.applyRecord(record, now)
	}
	if len(page.Values) == 0 && page.End < f.nextOffset {
		f.snapshotRead = false
	}
	if page.End == f.nextOffset {
		f.confirmNewest(asked + f.waited(asked, page, wait))
	}
	return nil
}

// applyRecord decodes and applies the record at nextOffset, which was read at now, and
// advances nextOffset. A malformed record is counted, logged and skipped.
func (f *follower) applyRecord(record []byte, now time.Time) {
	key, value, err := f.watcher.config.Decoder.DecodeKeyed(record)
	offset := f.nextOffset
	f.nextOffset++
	f.watcher.keepRecord(f.partition, connector.Item{Key: key, Value: value, Offset: offset}, err == nil)
	if err != nil {
		f.watcher.config.Counters.Dropped.Add("record", 1)
		f.watcher.config.Logger.Warn().Err(err).Int64("offset", offset).Msg("skipping malformed record")
		return
	}
	f.apply(change{key: key, value: value, offset: offset, readAt: now, usableUntil: f.usableUntil})
}

// readNewest reads and applies the newest record of each key, and passes the keys
// that have a record to removeAbsent.
func (f *follower) readNewest(ctx context.Context) error {
	asked := f.watcher.config.Uptime()
	newest, err := f.watcher.config.Store.Newest(ctx, f.partition)
	if err != nil {
		return fmt.Errorf("read newest records of %s: %w", f.partition, err)
	}
	now := time.Now()
	f.recordAnswer(now)
	present := make(map[string]bool)
	for _, item := range newest.Items {
		present[item.Key] = true
		f.apply(change{key: item.Key, value: item.Value, offset: item.Offset, readAt: now, usableUntil: f.usableUntil})
	}
	// Newest reads several pages, which together are no atomic snapshot. End is the
	// end of the partition at the first page: reading continues from there, so that
	// no change made in the meantime is missed.
	from := newest.End
	if f.removeAbsent != nil {
		f.removeAbsent(present, max(0, from-1), f.usableUntil, now)
	}
	f.nextOffset = from
	f.snapshotRead = true
	// Another host may have answered with records that it read a while ago.
	confirmedAt := asked - snapshotMaxAge
	f.watcher.keepNewest(f.partition, newest, confirmedAt)
	f.confirmNewest(confirmedAt)
	return nil
}

// waited returns how long after the start of a read its answer was true at the least. The store
// answers without records only once it has waited for them. Half of the wait counts: a read
// through another host does not wait, and is made after a first host has failed for at most that
// long.
func (f *follower) waited(asked time.Duration, page connector.Records, wait time.Duration) time.Duration {
	if len(page.Values) > 0 || f.watcher.config.Uptime()-asked < wait {
		return 0
	}
	return wait / 2
}

// confirmNewest records that the records applied so far were the newest at an uptime.
func (f *follower) confirmNewest(at time.Duration) {
	f.watcher.renewSnapshot(f.partition, at)
	if f.confirm != nil {
		f.confirm(at)
	}
}

// recordAnswer records the time of an answer of the store. If the answer ends an
// outage, upstreams that are removed within the next removalGrace stay usable until
// the end of that period: their records may have expired during the outage, and the
// upstreams may publish new records. A read may wait for up to configurationWait, so
// this wait does not count as an outage.
func (f *follower) recordAnswer(now time.Time) {
	if !f.lastAnswer.IsZero() && now.Sub(f.lastAnswer) > outageThreshold+configurationWait {
		f.usableUntil = now.Add(removalGrace)
	}
	f.lastAnswer = now
}
