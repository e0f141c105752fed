package citronpier

import (
	"context"
	"sync"
	"time"

	"github.com/citronpier/citronpier/internal/waiter"
)

const maintenanceInterval = time.Second

// runMaintenance drops expired state and adjusts the connection limit every
// maintenanceInterval, and logs when the host is ready for the first time.
func (e *Entry) runMaintenance(ctx context.Context) error {
	var once sync.Once
	for ctx.Err() == nil {
		now := time.Now()
		e.keeper.Tick(now)
		list, listed := e.watcher.List()
		if listed {
			e.exchanger.Prune(list.Listed, now)
			e.tracker.Prune(list.Listed, now)
		}
		e.limitConnections(now)
		e.updateAdmission(now)
		if e.Ready() {
			once.Do(func() {
				e.config.Logger.Info().Dur("after_ms", now.Sub(e.started)).Int("upstreams", list.Len()).Msg("ready")
			})
		}
		waiter.Sleep(ctx, maintenanceInterval)
	}
	return nil
}

// limitConnections bounds this host's connections to each upstream. Each live
// host gets an equal share of the lowest connection limit of all services.
func (e *Entry) limitConnections(now time.Time) {
	hosts := max(1, len(e.callers(now).Live(now)))
	lowest := 0
	for _, s := range e.watcher.Configuration().Services {
		if s.Connections > 0 && (lowest == 0 || s.Connections < lowest) {
			lowest = s.Connections
		}
	}
	if lowest > 0 {
		e.exchanger.WithLimit(max(1, lowest/hosts))
	}
}
