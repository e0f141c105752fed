package coordinator

import (
	"sync"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

// loadTable holds the last load report of each upstream, and counts the attempts
// that this host has sent to the upstream since that report. The zero value is an
// empty table.
type loadTable struct {
	mu sync.Mutex
	// Both maps are keyed by upstream id.
	reports         map[string]*messenger.Load
	sentSinceReport map[string]int32
}

// observe stores load reports. A new report resets the count of attempts sent to
// its upstream to zero, because the report is assumed to include these attempts.
func (t *loadTable) observe(loads []*messenger.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[string]*messenger.Load)
		t.sentSinceReport = make(map[string]int32)
	}
	for _, load := range loads {
		if load.GetUpstream() == "" {
			continue
		}
		t.reports[load.GetUpstream()] = load
		t.sentSinceReport[load.GetUpstream()] = 0
	}
}

// countAttempt counts an attempt that is sent to an upstream and is not yet part
// of a load report.
func (t *loadTable) countAttempt(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sentSinceReport == nil {
		t.reports = make(map[string]*messenger.Load)
		t.sentSinceReport = make(map[string]int32)
	}
	t.sentSinceReport[upstream]++
}

// expectedWait returns how long a call is expected to wait for one of the
// upstream's slots, and whether the upstream's circuit breaker is open.
func (t *loadTable) expectedWait(upstream string, slots int) (wait time.Duration, breakerOpen bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.reports[upstream]
	free := int32(slots) - report.GetRunning() - report.GetQueued() - t.sentSinceReport[upstream]
	if free > 0 {
		return 0, report.GetBroken()
	}
	// If no slot is free and no call is queued, a new call waits for one running
	// call to end. Each call that is already queued adds one more such wait.
	perCall := time.Duration(report.GetWaitUs()) * time.Microsecond / time.Duration(report.GetQueued()+1)
	perCall = max(perCall, assumedSlotTime/time.Duration(max(1, slots)))
	return perCall * time.Duration(1-free), report.GetBroken()
}

// assumedSlotTime is the minimum time that a call is assumed to occupy a slot. It
// applies even if the upstream has sent no load report or reports shorter waits.
const assumedSlotTime = 500 * time.Millisecond
