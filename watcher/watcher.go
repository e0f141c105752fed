package watcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
)

const (
	// listEvery is the time between reads of the upstreams, a fraction of the
	// time within which a leaving one has to be left alone.
	listEvery = 500 * time.Millisecond
	// configWait is how long a read of the configuration waits for a change.
	configWait = time.Second
	// failurePause is the time between reads while the store is away.
	failurePause = 200 * time.Millisecond
	// awayAfter is how long reads have to fail before the store counts as away,
	// so that entries may have lapsed meanwhile.
	awayAfter = time.Second
	// lapseGrace is how long after the store's return lapsed entries may be
	// missing.
	lapseGrace = 2 * time.Second
)

// Decoder reads the platform's records.
type Decoder interface {
	// Split returns the key and value of a keyed record; no value drops the key.
	Split(record []byte) (key string, value []byte, err error)
	// Configuration reads the operator's configuration. It is false for a key
	// that holds none.
	Configuration(key string, value []byte) (descriptor.Configuration, bool, error)
	// Upstream reads what an upstream says of itself.
	Upstream(id string, value []byte) (descriptor.Upstream, error)
}

// Config is what a Watcher works with.
type Config struct {
	Store   connector.Store
	Decoder Decoder
	// Configurations and Upstreams are the keyed partitions to follow.
	Configurations connector.Partition
	Upstreams      connector.Partition
	// Changed is called after a change.
	Changed  func()
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Watcher follows the configuration and the upstreams.
type Watcher struct {
	config Config

	mu            sync.Mutex
	configuration descriptor.Configuration
	list          List
	listed        bool
	nudged        chan struct{}
}

// New returns a Watcher.
func New(c Config) *Watcher { return &Watcher{config: c, nudged: make(chan struct{}, 1)} }

// Configuration returns the newest configuration; version 0 is none.
func (w *Watcher) Configuration() descriptor.Configuration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configuration
}

// List returns the upstreams. It is false before they were read.
func (w *Watcher) List() (List, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list, w.listed
}

// Nudge has the configuration read soon: another host has a newer one.
func (w *Watcher) Nudge() {
	select {
	case w.nudged <- struct{}{}:
	default:
	}
}

// RunConfiguration follows the configuration until ctx ends.
func (w *Watcher) RunConfiguration(ctx context.Context) error {
	f := &follower{watcher: w, partition: w.config.Configurations, apply: w.applyConfiguration}
	for ctx.Err() == nil {
		read, cancel := context.WithCancel(ctx)
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			select {
			case <-w.nudged:
				cancel()
			case <-read.Done():
			}
		}()
		began, before, first := time.Now(), f.next, !f.begun
		err := f.step(read, configWait)
		nudged := read.Err() != nil
		cancel()
		<-stop
		if nudged {
			err = f.step(ctx, 0)
		}
		// A read through another host does not wait for a change.
		early := !first && f.next == before && time.Since(began) < configWait/2
		if err != nil || early {
			waiter.Sleep(ctx, failurePause)
		}
	}
	return nil
}

// RunUpstreams follows the upstreams until ctx ends.
func (w *Watcher) RunUpstreams(ctx context.Context) error {
	f := &follower{watcher: w, partition: w.config.Upstreams, apply: w.applyUpstream, only: w.onlyUpstreams}
	for ctx.Err() == nil {
		if err := f.step(ctx, 0); err != nil {
			waiter.Sleep(ctx, failurePause)
			continue
		}
		w.markListed()
		waiter.Sleep(ctx, listEvery)
	}
	return nil
}

func (w *Watcher) markListed() {
	w.mu.Lock()
	first := !w.listed
	w.listed = true
	w.mu.Unlock()
	if first {
		w.config.Changed()
	}
}

// change is one keyed record.
type change struct {
	key    string
	value  []byte
	offset int64
	// lenient keeps what is removed in use for a time.
	lenient time.Time
}

func (w *Watcher) applyConfiguration(c change) {
	next, ok, err := w.config.Decoder.Configuration(c.key, c.value)
	if err != nil {
		w.config.Counters.Dropped.Add("configuration", 1)
		w.config.Logger.Error().Err(err).Int64("offset", c.offset).Msg("configuration not readable")
		return
	}
	w.mu.Lock()
	old := w.configuration.Version
	newer := ok && next.Version > old
	if newer {
		w.configuration = next
	}
	w.mu.Unlock()
	if newer {
		w.config.Logger.Info().Int64("version", next.Version).Int64("before", old).Int64("offset", c.offset).
			Int("routes", len(next.Routes)).Msg("configuration in force")
		w.config.Changed()
	}
}

func (w *Watcher) applyUpstream(c change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.list
	if len(c.value) == 0 {
		w.list = w.list.WithRemoved(c.key, c.offset, c.lenient)
		w.logUpstream(c, before, "upstream removed")
		return
	}
	u, err := w.config.Decoder.Upstream(c.key, c.value)
	if err != nil {
		w.config.Counters.Dropped.Add("upstream", 1)
		w.config.Logger.Warn().Err(err).Str("upstream", c.key).Int64("offset", c.offset).Msg("upstream entry not readable")
		w.list = w.list.WithRemoved(c.key, c.offset, c.lenient)
		return
	}
	w.list = w.list.WithUpstream(u, c.offset)
	w.logUpstream(c, before, "upstream changed")
}

// logUpstream logs a change that matters to where requests go. It needs mu to
// be held.
func (w *Watcher) logUpstream(c change, before List, message string) {
	old, next := before.entries[c.key], w.list.entries[c.key]
	if old.gone == next.gone && old.upstream.Leaving == next.upstream.Leaving && old.upstream.Born == next.upstream.Born {
		return
	}
	w.config.Logger.Info().Str("upstream", c.key).Str("service", next.upstream.Service).Str("address", next.upstream.Address).
		Bool("leaving", next.upstream.Leaving).Bool("gone", next.gone).Int64("born", next.upstream.Born).
		Int64("offset", c.offset).Msg(message)
}

func (w *Watcher) onlyUpstreams(named map[string]bool, offset int64, lenient time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = w.list.WithOnly(named, offset, lenient)
}

// follower reads one keyed partition.
type follower struct {
	watcher   *Watcher
	partition connector.Partition
	apply     func(change)
	only      func(named map[string]bool, offset int64, lenient time.Time)
	// next is the offset to read from; -1 and 0 ask for the newest of each key.
	next int64
	// begun says that the newest of each key were read.
	begun bool
	// reached is when the store last answered.
	reached time.Time
	// lenient is until when removals may be lapses.
	lenient time.Time
}

// step reads once and applies what is new.
func (f *follower) step(ctx context.Context, wait time.Duration) error {
	if !f.begun {
		return f.snapshot(ctx)
	}
	page, err := f.watcher.config.Store.Read(ctx, f.partition, f.next, wait)
	var trimmed *connector.TrimmedError
	if errors.As(err, &trimmed) {
		f.watcher.config.Logger.Info().Stringer("partition", f.partition).Int64("from", f.next).
			Int64("first", trimmed.First).Msg("records have expired, reading the newest")
		return f.snapshot(ctx)
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", f.partition, err)
	}
	f.answered(time.Now())
	for _, record := range page.Values {
		f.record(record)
	}
	if len(page.Values) == 0 && page.End < f.next {
		f.begun = false
	}
	return nil
}

func (f *follower) record(record []byte) {
	key, value, err := f.watcher.config.Decoder.Split(record)
	offset := f.next
	f.next++
	if err != nil {
		f.watcher.config.Counters.Dropped.Add("record", 1)
		f.watcher.config.Logger.Warn().Err(err).Int64("offset", offset).Msg("record not readable")
		return
	}
	f.apply(change{key: key, value: value, offset: offset, lenient: f.lenient})
}

func (f *follower) snapshot(ctx context.Context) error {
	newest, err := f.watcher.config.Store.Newest(ctx, f.partition)
	if err != nil {
		return fmt.Errorf("read newest of %s: %w", f.partition, err)
	}
	f.answered(time.Now())
	named := make(map[string]bool)
	for _, item := range newest.Items {
		named[item.Key] = true
		f.apply(change{key: item.Key, value: item.Value, offset: item.Offset, lenient: f.lenient})
	}
	// Pages are no snapshot: what changed meanwhile is read again.
	from := newest.End
	if f.only != nil {
		f.only(named, max(0, from-1), f.lenient)
	}
	f.next = from
	f.begun = true
	return nil
}

// answered notes an answer of the store. After an outage removals may be
// lapses that mend within a time.
func (f *follower) answered(now time.Time) {
	if !f.reached.IsZero() && now.Sub(f.reached) > awayAfter+configWait {
		f.lenient = now.Add(lapseGrace)
	}
	f.reached = now
}
