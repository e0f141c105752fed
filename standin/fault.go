package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/citronpier/citronpier/internal/waiter"
)

// Faults are the fault switches that every stand-in has. The zero value has
// none switched on.
type Faults struct {
	mu       sync.Mutex
	down     bool
	slow     time.Duration
	loseNext int
	silenced time.Time
	tap      func(step Step, subject string)
}

// Step is a point in a stand-in's work at which a test may strike.
type Step string

// The steps.
const (
	StepAppend     Step = "append"      // a record has arrived and is not yet in the log
	StepAppended   Step = "appended"    // a record is in the log and not yet answered
	StepReceived   Step = "received"    // an engine or a service was sent a call
	StepFirstToken Step = "first token" // an engine generated the first token
	StepMidStream  Step = "mid-stream"  // an engine generated the fourth token
	StepGenerated  Step = "generated"   // an engine generated the last token
	StepRan        Step = "ran"         // a service ran a call and has not answered
)

// OnStep sets what is called at each step. The subject is the session of an
// engine's call, or the key of a service's.
func (f *Faults) OnStep(tap func(step Step, subject string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tap = tap
}

// reach tells that a step is reached.
func (f *Faults) reach(s Step, subject string) {
	f.mu.Lock()
	tap := f.tap
	f.mu.Unlock()
	if tap != nil {
		tap(s, subject)
	}
}

// SetDown makes the stand-in break every connection.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetSlow delays every answer.
func (f *Faults) SetSlow(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = delay
}

// LoseAnswers makes the next n requests take effect without an answer.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = n
}

// Silence makes every stream that was opened before now go silent for good.
func (f *Faults) Silence(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silenced = now
}

func (f *Faults) isSilent(opened time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return opened.Before(f.silenced)
}

// loses reports whether the present request's answer is lost.
func (f *Faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseNext == 0 {
		return false
	}
	f.loseNext--
	return true
}

// wrap returns a handler under the down and slow switches.
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

// abort breaks the connection of the present request.
func abort() { panic(http.ErrAbortHandler) }
