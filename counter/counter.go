package counter

import (
	"expvar"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/refuser"
)

// Set is the metrics of one host. The zero value counts from 0.
type Set struct {
	// Refusals counts refusals by reason.
	Refusals expvar.Map
	// Retries counts repeated attempts by reason.
	Retries expvar.Map
	// Stages counts calls by the stage that they reached.
	Stages expvar.Map
	// Dropped counts what was received and not used, by reason.
	Dropped expvar.Map

	mu sync.Mutex
	// times holds what was measured of single requests, in microseconds.
	times map[Measure]*hdrhistogram.Histogram
	// latency holds whole-program latency in microseconds, by rank.
	latency map[descriptor.Rank]*hdrhistogram.Histogram
}

// Retry is the reason for a repeated attempt.
type Retry string

// The reasons.
const (
	RetryUpstream Retry = "upstream" // the upstream failed before or in the answer
	RetrySilent   Retry = "silent"   // the connection made no progress
	RetryResume   Retry = "resume"   // the answer was resumed from a position
	RetryHome     Retry = "home"     // a host that is home could not be reached
	RetryRefused  Retry = "refused"  // the upstream did not run the request
	RetryUnsent   Retry = "unsent"   // no connection to the upstream was made
	RetryOverdue  Retry = "overdue"  // the answer did not begin in its time
	RetryAside    Retry = "aside"    // a turn was recorded in another shard
	RetryFailed   Retry = "failed"   // the upstream answered that it failed
)

// Stage is a step that calls pass.
type Stage string

// The stages.
const (
	StageReceived   Stage = "received"
	StageForwarded  Stage = "forwarded"
	StageAdmitted   Stage = "admitted"
	StageClaimed    Stage = "claimed"
	StageGranted    Stage = "granted"
	StageIntended   Stage = "intended"
	StageDispatched Stage = "dispatched"
	StageAttached   Stage = "attached"
	StageAnswered   Stage = "answered"
	StageFinished   Stage = "finished"
)

const (
	lowestMicros  = 1
	highestMicros = int64(24 * time.Hour / time.Microsecond)
	digits        = 2
)

// Refused counts a refusal.
func (s *Set) Refused(reason refuser.Reason) { s.Refusals.Add(string(reason), 1) }

// Retried counts a repeated attempt.
func (s *Set) Retried(reason Retry) { s.Retries.Add(string(reason), 1) }

// Reached counts a call at a stage.
func (s *Set) Reached(stage Stage) { s.Stages.Add(string(stage), 1) }

// Finished records the latency of a whole program.
func (s *Set) Finished(rank descriptor.Rank, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = make(map[descriptor.Rank]*hdrhistogram.Histogram)
	}
	h, ok := s.latency[rank]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, digits)
		s.latency[rank] = h
	}
	_ = h.RecordValue(min(highestMicros, max(lowestMicros, latency.Microseconds())))
}

// Measure is a time that is measured of single requests.
type Measure string

// The measures.
const (
	MeasureAnswer Measure = "answer" // from arrival to the end of the answer
	MeasureFirst  Measure = "first"  // from arrival to the first byte of the answer
	MeasureRefuse Measure = "refuse" // from arrival to a refusal
	MeasureBegin  Measure = "begin"  // until a program's home has let a turn run
	MeasureHeld   Measure = "held"   // the end of a retained turn, until its record is in the store
	MeasureAppend Measure = "append" // an append to the store, repeats included
)

// Measured records a time.
func (s *Set) Measured(m Measure, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = make(map[Measure]*hdrhistogram.Histogram)
	}
	h, ok := s.times[m]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, digits)
		s.times[m] = h
	}
	_ = h.RecordValue(min(highestMicros, max(lowestMicros, took.Microseconds()))) // the value is in range
}

// Times returns what was measured of single requests as an expvar value.
func (s *Set) Times() expvar.Var {
	s.mu.Lock()
	defer s.mu.Unlock()
	var times expvar.Map
	for m, h := range s.times {
		times.Set(string(m), summary(h))
	}
	return &times
}

// summary returns a histogram of microseconds as an expvar value.
func summary(h *hdrhistogram.Histogram) *expvar.Map {
	var one expvar.Map
	one.Add("count", h.TotalCount())
	one.Add("p50_us", h.ValueAtQuantile(50))
	one.Add("p95_us", h.ValueAtQuantile(95))
	one.Add("p99_us", h.ValueAtQuantile(99))
	one.Add("max_us", h.Max())
	return &one
}

// Programs returns whole-program latency by rank as an expvar value.
func (s *Set) Programs() expvar.Var {
	s.mu.Lock()
	defer s.mu.Unlock()
	var programs expvar.Map
	for rank, h := range s.latency {
		programs.Set(rank.String(), summary(h))
	}
	return &programs
}

// Write writes the host's metrics and the process's expvar values as JSON.
func (s *Set) Write(w io.Writer) error {
	var host expvar.Map
	host.Set("refusals", &s.Refusals)
	host.Set("retries", &s.Retries)
	host.Set("stages", &s.Stages)
	host.Set("dropped", &s.Dropped)
	host.Set("programs", s.Programs())
	host.Set("times", s.Times())
	_, err := fmt.Fprintf(w, "{%s: %s", strconv.Quote("citronpier"), host.String())
	expvar.Do(func(kv expvar.KeyValue) {
		if err == nil {
			_, err = fmt.Fprintf(w, ",\n%s: %s", strconv.Quote(kv.Key), kv.Value)
		}
	})
	if err == nil {
		_, err = fmt.Fprintln(w, "}")
	}
	if err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}
