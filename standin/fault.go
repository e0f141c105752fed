package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/citronpier/citronpier/internal/waiter"
)

// Faults injects faults into a fake. The zero value injects none. Log, List,
// Engine and Service embed it.
type Faults struct {
	mu              sync.Mutex
	down            bool
	slow            time.Duration
	responsesToLose int
	silencedBefore  time.Time
	onStep          func(step Step, subject string)
}

// Step is a point in a fake's handling of a request at which a test may inject
// a fault.
type Step string

// The steps that a Log, an Engine or a Service reports.
const (
	StepAppend     Step = "append"      // the log received a record and has not appended it yet
	StepAppended   Step = "appended"    // the log appended a record and has not responded yet
	StepReceived   Step = "received"    // an engine or a service received a call
	StepFirstToken Step = "first token" // an engine generated the first token
	StepMidStream  Step = "mid-stream"  // an engine generated the fourth token
	StepGenerated  Step = "generated"   // an engine generated the last token
	StepRan        Step = "ran"         // a service executed a call and has not responded yet
)

// OnStep sets the function that is called at each step; nil removes it. The
// subject is the session of an engine's call, or the idempotency key of a
// service's call. A Log calls its OnAppend function instead.
func (f *Faults) OnStep(onStep func(step Step, subject string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStep = onStep
}

// reach calls the OnStep function, if any.
func (f *Faults) reach(s Step, subject string) {
	f.mu.Lock()
	onStep := f.onStep
	f.mu.Unlock()
	if onStep != nil {
		onStep(s, subject)
	}
}

// SetDown sets whether the fake closes the connection of every new request
// without a response.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetSlow delays the handling of every new request; 0 ends the delay.
func (f *Faults) SetSlow(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = delay
}

// LoseResponses makes the fake execute each of the next n requests and then close
// the connection without a response. It affects only appends to a Log and calls of
// a Service.
func (f *Faults) LoseResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responsesToLose = n
}

// Silence makes an Engine send nothing more on the streams opened before now;
// their connections stay open.
func (f *Faults) Silence(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silencedBefore = now
}

func (f *Faults) isSilent(opened time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return opened.Before(f.silencedBefore)
}

// losesResponse reports whether the response to the current request is to be
// lost. If so, it decrements the number of responses that are still to be lost.
func (f *Faults) losesResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToLose == 0 {
		return false
	}
	f.responsesToLose--
	return true
}

// wrap returns a handler that applies the faults set by SetDown and SetSlow and
// then calls next.
func (f *Faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		down, slow := f.down, f.slow
		f.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		waiter.Sleep(r.Context(), slow)
		next.ServeHTTP(w, r)
	})
}

// abort closes the connection of the current request without a complete
// response.
func abort() { panic(http.ErrAbortHandler) }
