package coordinator

import (
	"sync"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

// loadTable holds the last report of each upstream's load, and the attempts
// that were sent since. The zero value knows of no load.
type loadTable struct {
	mu      sync.Mutex
	reports map[string]*messenger.Load
	sent    map[string]int32
}

func (t *loadTable) observe(loads []*messenger.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[string]*messenger.Load)
		t.sent = make(map[string]int32)
	}
	for _, l := range loads {
		if l.GetUpstream() == "" {
			continue
		}
		t.reports[l.GetUpstream()] = l
		t.sent[l.GetUpstream()] = 0
	}
}

// dispatched counts an attempt that the next report will include.
func (t *loadTable) dispatched(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.reports = make(map[string]*messenger.Load)
		t.sent = make(map[string]int32)
	}
	t.sent[upstream]++
}

// wait returns the expected wait at an upstream and whether it fails.
func (t *loadTable) wait(upstream string, slots int) (wait time.Duration, broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.reports[upstream]
	free := int32(slots) - l.GetRunning() - l.GetQueued() - t.sent[upstream]
	if free > 0 {
		return 0, l.GetBroken()
	}
	// One call more than the free slots waits for the next one to end.
	perCall := time.Duration(l.GetWaitUs()) * time.Microsecond / time.Duration(l.GetQueued()+1)
	perCall = max(perCall, assumedWait/time.Duration(max(1, slots)))
	return perCall * time.Duration(1-free), l.GetBroken()
}

// assumedWait is the time that a call holds a slot where no report says.
const assumedWait = 500 * time.Millisecond
