package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/uptime"
	"github.com/citronpier/citronpier/internal/waiter"
)

const (
	// upstreamsInterval is the time between reads of the upstreams. It is a
	// fraction of the time within which hosts must stop sending requests to an
	// upstream that is leaving.
	upstreamsInterval = 500 * time.Millisecond
	// configurationWait is how long a read of the configuration waits for a new
	// record (long polling).
	configurationWait = time.Second
	// retryPause is the pause before the next read after a read failed, or returned
	// at once without a new record.
	retryPause = 200 * time.Millisecond
	// minConfirmationWait is how long a read of the configuration may take at least before it
	// is given up because the configuration is too old.
	minConfirmationWait = 300 * time.Millisecond
	// outageThreshold is how long reads must fail to count as an outage, in which
	// records of upstreams may have expired because they could not be renewed.
	outageThreshold = time.Second
	// removalGrace is how long after an outage removed upstreams stay usable, so
	// that they have time to publish their records again.
	removalGrace = 2 * time.Second
)

// Decoder decodes the platform's records.
type Decoder interface {
	// DecodeKeyed returns the key and value of a keyed record. An empty value means that
	// the key is removed.
	DecodeKeyed(record []byte) (key string, value []byte, err error)
	// Configuration decodes the operator's configuration. It returns false if the
	// key does not hold a configuration that can be used. With true, an error reports
	// entries that could not be decoded and that the configuration lacks.
	Configuration(key string, value []byte) (descriptor.Configuration, bool, error)
	// Upstream decodes the record that the upstream with the given id published.
	Upstream(id string, value []byte) (descriptor.Upstream, error)
}

// Config holds the dependencies of a Watcher.
type Config struct {
	Store   connector.Store
	Decoder Decoder
	// Configurations and Upstreams are the partitions to follow. Both are keyed: a
	// record replaces all earlier records with the same key.
	Configurations connector.Partition
	Upstreams      connector.Partition
	// Changed is called after each new configuration and after the first read of
	// the upstreams.
	Changed func()
	// Uptime returns the time since boot; nil means uptime.Now.
	Uptime func() time.Duration
	// MaxAge is the age of the configuration that must not be exceeded while any host reaches
	// the store: a read that takes longer than half of it is given up and repeated. 0 is no
	// limit.
	MaxAge   time.Duration
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Watcher follows the configuration and the upstreams in the store. It is safe
// for concurrent use.
type Watcher struct {
	config Config

	mu            sync.Mutex
	configuration descriptor.Configuration
	// confirmedAt is the uptime at which the configuration was known to be the newest.
	confirmedAt time.Duration
	list        List
	// followed holds the newest records of each partition that is followed.
	followed map[connector.Partition]*snapshot
	// upstreamsRead is true once the upstreams have been read completely.
	upstreamsRead bool
	// rereads holds one item if Reread was called and the configuration has not been
	// read since.
	rereads chan struct{}
}

// New returns a Watcher. It reads nothing until RunConfiguration and RunUpstreams
// are called.
func New(c Config) *Watcher {
	if c.Uptime == nil {
		c.Uptime = uptime.Now
	}
	return &Watcher{config: c, rereads: make(chan struct{}, 1), followed: make(map[connector.Partition]*snapshot)}
}

// Configuration returns the configuration with the highest version read so far.
// Version 0 means that no configuration was read yet.
func (w *Watcher) Configuration() descriptor.Configuration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configuration
}

// ConfigurationAge returns how long ago the configuration was known to be the newest. The age
// goes on while the machine is suspended.
func (w *Watcher) ConfigurationAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.Uptime() - w.confirmedAt
}

// confirm records that the configuration was the newest at an uptime.
func (w *Watcher) confirm(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt = max(w.confirmedAt, at)
}

// overdue returns a channel that receives once the configuration has half of the age that it
// must not exceed, or nil if its age has no limit.
func (w *Watcher) overdue() <-chan time.Time {
	if w.config.MaxAge == 0 {
		return nil
	}
	return time.After(max(minConfirmationWait, w.config.MaxAge/2-w.ConfigurationAge()))
}

// List returns the list of upstreams. It returns false until the list has been
// read from the store for the first time.
func (w *Watcher) List() (List, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list, w.upstreamsRead
}

// Reread makes RunConfiguration read the configuration at once, instead of waiting
// until the store returns a new record. It is called when another host has a newer
// version of the configuration.
func (w *Watcher) Reread() {
	select {
	case w.rereads <- struct{}{}:
	default:
	}
}

// RunConfiguration follows the configuration until ctx ends. It returns nil.
func (w *Watcher) RunConfiguration(ctx context.Context) error {
	f := &follower{watcher: w, partition: w.config.Configurations, apply: w.applyConfiguration, confirm: w.confirm}
	for ctx.Err() == nil {
		readCtx, cancel := context.WithCancel(ctx)
		waiterDone := make(chan struct{})
		go func() {
			defer close(waiterDone)
			select {
			case <-w.rereads:
				cancel()
			case <-w.overdue():
				cancel()
			case <-readCtx.Done():
			}
		}()
		began, nextBefore, firstRead := time.Now(), f.nextOffset, !f.snapshotRead
		err := f.readOnce(readCtx, configurationWait)
		reread := readCtx.Err() != nil
		cancel()
		<-waiterDone
		if reread {
			err = f.readOnce(ctx, 0)
		}
		// A read that is relayed through another host returns at once, even if there
		// is no new record. The pause below keeps such reads from becoming a busy
		// loop.
		answeredEarly := !firstRead && f.nextOffset == nextBefore && time.Since(began) < configurationWait/2
		if err != nil || answeredEarly {
			waiter.Sleep(ctx, pauseBeforeRetry())
		}
	}
	return nil
}

// pauseBeforeRetry returns the pause before the next read, which differs from host to
// host, so that hosts whose reads failed together don't repeat them together.
func pauseBeforeRetry() time.Duration { return retryPause + rand.N(retryPause) }

// RunUpstreams reads the upstreams every upstreamsInterval until ctx ends. It
// returns nil.
func (w *Watcher) RunUpstreams(ctx context.Context) error {
	f := &follower{watcher: w, partition: w.config.Upstreams, apply: w.applyUpstream, removeAbsent: w.removeAbsentUpstreams}
	for ctx.Err() == nil {
		if err := f.readOnce(ctx, 0); err != nil {
			waiter.Sleep(ctx, pauseBeforeRetry())
			continue
		}
		w.markUpstreamsRead()
		waiter.Sleep(ctx, upstreamsInterval)
	}
	return nil
}

// markUpstreamsRead records that the upstreams have been read, and calls Changed
// the first time.
func (w *Watcher) markUpstreamsRead() {
	w.mu.Lock()
	first := !w.upstreamsRead
	w.upstreamsRead = true
	w.mu.Unlock()
	if first {
		w.config.Changed()
	}
}

// applyConfiguration replaces the current configuration by the configuration in c if
// the new version is higher. A record that cannot be decoded is counted, logged and
// ignored.
func (w *Watcher) applyConfiguration(c change) {
	next, ok, err := w.config.Decoder.Configuration(c.key, c.value)
	if err != nil && !ok {
		w.config.Counters.Dropped.Add("configuration", 1)
		w.config.Logger.Error().Err(err).Int64("offset", c.offset).Msg("ignoring malformed configuration record")
		return
	}
	w.mu.Lock()
	old := w.configuration.Version
	newer := ok && next.Version > old
	if newer {
		w.configuration = next
	}
	w.mu.Unlock()
	if newer && err != nil {
		w.config.Counters.Dropped.Add("entry", 1)
		w.config.Logger.Error().Err(err).Int64("version", next.Version).Msg("configuration has malformed entries")
	}
	if newer {
		w.config.Logger.Info().Int64("version", next.Version).Int64("before", old).Int64("offset", c.offset).
			Int("routes", len(next.Routes)).Msg("new configuration in force")
		w.config.Changed()
	}
}

// applyUpstream updates the list with the record of an upstream. A record that has no
// value or cannot be decoded removes the upstream.
func (w *Watcher) applyUpstream(c change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.list
	if len(c.value) == 0 {
		w.list = w.list.WithRemoved(c.key, c.offset, c.usableUntil, c.readAt)
		w.logUpstream(c, before, "upstream removed")
		return
	}
	u, err := w.config.Decoder.Upstream(c.key, c.value)
	if err != nil {
		w.config.Counters.Dropped.Add("upstream", 1)
		w.config.Logger.Warn().Err(err).Str("upstream", c.key).Int64("offset", c.offset).Msg("malformed upstream record, removing the upstream")
		w.list = w.list.WithMalformed(c.key, c.offset)
		return
	}
	w.list = w.list.WithUpstream(u, c.offset, c.readAt)
	w.logUpstream(c, before, "upstream changed")
}

// logUpstream logs a change of an upstream if it affects routing: a removal, a
// return, a new incarnation, or the start or end of leaving. The caller must hold
// w.mu.
func (w *Watcher) logUpstream(c change, before List, message string) {
	old, next := before.entries[c.key], w.list.entries[c.key]
	if old.removed == next.removed && old.upstream.Leaving == next.upstream.Leaving && old.upstream.Incarnation == next.upstream.Incarnation {
		return
	}
	w.config.Logger.Info().Str("upstream", c.key).Str("service", next.upstream.Service).Str("version", next.upstream.Version).
		Str("address", next.upstream.Address).
		Bool("leaving", next.upstream.Leaving).Bool("gone", next.removed).Int64("born", next.upstream.Incarnation).
		Int64("offset", c.offset).Msg(message)
}

// removeAbsentUpstreams marks all upstreams that are not in present as removed at the
// given offset of the log, which was read at now. The marked upstreams stay usable until
// usableUntil.
func (w *Watcher) removeAbsentUpstreams(present map[string]bool, offset int64, usableUntil, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = w.list.WithOnly(present, offset, usableUntil, now)
}
