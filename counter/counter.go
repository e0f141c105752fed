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

// Set holds the metrics of one host. The zero value is ready for use.
type Set struct {
	// Refusals counts refused calls by refuser.Reason.
	Refusals expvar.Map
	// Retries counts repeated attempts. The keys are the reasons (Retry).
	Retries expvar.Map
	// Stages counts the calls that reached each Stage.
	Stages expvar.Map
	// Dropped counts received items that were discarded. The keys are types of items
	// and reasons, such as "position" for a chunk at an unexpected position.
	Dropped expvar.Map
	// Crashes counts reports of requests that upstreams ran when they ended. The keys are
	// what happened to a report (CrashReport).
	Crashes expvar.Map
	// Memory has gauges and counters of what callers take of the host.
	Memory expvar.Map

	// gauges reads further values, by name.
	gauges map[string]func() expvar.Var
	// Admissions counts the decisions on turns while programs are admitted by load. The keys
	// are the reasons of package admitter.
	Admissions expvar.Map
	// Choices counts the choices of upstreams, and refusals that show how good they are. The
	// keys are of type Choice.
	Choices expvar.Map

	mu sync.Mutex
	// times holds the durations of single requests in microseconds.
	times map[Measure]*hdrhistogram.Histogram
	// latency holds the durations of programs from start to end, in microseconds.
	latency map[descriptor.Rank]*hdrhistogram.Histogram
}

// Retry is the metrics label for the reason why an attempt is repeated.
type Retry string

// The reasons for repeated attempts.
const (
	RetryUpstream      Retry = "upstream" // the attempt failed before or during the upstream's response
	RetrySilent        Retry = "silent"   // nothing arrived on the connection for too long
	RetryResume        Retry = "resume"   // the response was interrupted and resumed from where it stopped
	RetryHome          Retry = "home"     // the home (owner) of the program, shard or upstream failed or has changed
	RetryRefused       Retry = "refused"  // the upstream replied that it did not run the request
	RetryUnsent        Retry = "unsent"   // the request did not reach the upstream
	RetryMemory        Retry = "memory"   // the response exceeded its share of the memory for responses
	RetryBroken        Retry = "broken"   // the response was broken, see exchanger.Defect
	RetryOverdue       Retry = "overdue"  // the response did not begin within its time limit
	RetryFallbackShard Retry = "aside"    // a turn was recorded in a fallback shard
	RetryDenied        Retry = "denied"   // the request was not sent again: the host's retries were used up
	RetryFailed        Retry = "failed"   // the upstream ran the request and replied with an error status
)

// CrashReport is the metrics label for what happened to a report of a crash.
type CrashReport string

// What happens to reports of crashes.
const (
	CrashSuspected CrashReport = "suspected" // this host saw that an upstream ended under a request
	CrashLearned   CrashReport = "learned"   // another host reported it, or withdrew a report
	CrashWithdrawn CrashReport = "withdrawn" // an upstream answered the request later
)

// Admission counts a decision on a turn.
func (s *Set) Admission(reason string) { s.Admissions.Add(reason, 1) }

// Choice is the metrics label for a choice of an upstream, or for what became of it.
type Choice string

// How upstreams are chosen, and what shows that the loads or demands were not known well.
const (
	ChoiceByCost       Choice = "cost"         // the least expected cost
	ChoiceByDemand     Choice = "demand"       // in proportion to capacity and the demands of data centres
	ChoiceRefused      Choice = "refused"      // the upstream did not run the request
	ChoiceRefusedWhile Choice = "refused_free" // and another was believed to have a free slot
)

// Chosen counts a choice.
func (s *Set) Chosen(c Choice) { s.Choices.Add(string(c), 1) }

// Crash counts a report of a crash.
func (s *Set) Crash(r CrashReport) { s.Crashes.Add(string(r), 1) }

// Stage is the metrics label for a step in the processing of a call.
type Stage string

// The stages, roughly in order. Which stages a call passes depends on its type. A call
// may pass a stage more than once.
const (
	StageReceived   Stage = "received"   // the call arrived at the host
	StageForwarded  Stage = "forwarded"  // the host sent the call to the host that owns it
	StageAdmitted   Stage = "admitted"   // the call passed the limits of its organisation and program
	StageClaimed    Stage = "claimed"    // the host took ownership of the call's program
	StageGranted    Stage = "granted"    // tokens for the call were reserved or the budget was raised
	StageIntended   Stage = "intended"   // the intent to run the call at most once was recorded
	StageDispatched Stage = "dispatched" // the call was assigned to an upstream to run it
	StageAttached   Stage = "attached"   // the call was attached to a running call with the same key
	StageResumed    Stage = "resumed"    // the call resumes a stream and the version that began the stream is known
	StageAnswered   Stage = "answered"   // the call ended with a complete answer
	StageFinished   Stage = "finished"   // the call's program finished
)

// The range and precision of the histograms, in microseconds. Values out of range are
// counted at the nearest bound.
const (
	lowestMicros      = 1
	highestMicros     = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 2
)

// Refused counts a refused call.
func (s *Set) Refused(reason refuser.Reason) { s.Refusals.Add(string(reason), 1) }

// Retried counts a repeated attempt.
func (s *Set) Retried(reason Retry) { s.Retries.Add(string(reason), 1) }

// Reached counts a call that reached a stage.
func (s *Set) Reached(stage Stage) { s.Stages.Add(string(stage), 1) }

// Finished records the duration of a program from its start to its end.
func (s *Set) Finished(rank descriptor.Rank, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = make(map[descriptor.Rank]*hdrhistogram.Histogram)
	}
	h, ok := s.latency[rank]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
		s.latency[rank] = h
	}
	_ = h.RecordValue(min(highestMicros, max(lowestMicros, latency.Microseconds())))
}

// Measure is the metrics label for a duration that is measured for each request,
// such as the duration from its arrival to its refusal.
type Measure string

// The measures. Each measure has its own histogram.
const (
	MeasureAnswer Measure = "answer" // from the request's arrival to the end of the response
	MeasureFirst  Measure = "first"  // from the request's arrival to the first byte of the response
	MeasureRefuse Measure = "refuse" // from the request's arrival to its refusal
	MeasureBegin  Measure = "begin"  // the request to begin a turn, sent to the host that owns the program
	MeasureRecord Measure = "held"   // from the end of a turn's stream until the turn is in the store
	MeasureAppend Measure = "append" // an append to the store, with its retries
)

// Measured adds a duration to the histogram of a measure.
func (s *Set) Measured(m Measure, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = make(map[Measure]*hdrhistogram.Histogram)
	}
	h, ok := s.times[m]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
		s.times[m] = h
	}
	_ = h.RecordValue(min(highestMicros, max(lowestMicros, took.Microseconds()))) // can't fail: the value is within the range
}

// Times returns the percentiles of all measures as an expvar value.
func (s *Set) Times() expvar.Var {
	s.mu.Lock()
	defer s.mu.Unlock()
	var times expvar.Map
	for m, h := range s.times {
		times.Set(string(m), summary(h))
	}
	return &times
}

// summary returns the percentiles of a histogram of microseconds as an expvar value.
func summary(h *hdrhistogram.Histogram) *expvar.Map {
	var percentiles expvar.Map
	percentiles.Add("count", h.TotalCount())
	percentiles.Add("p50_us", h.ValueAtQuantile(50))
	percentiles.Add("p95_us", h.ValueAtQuantile(95))
	percentiles.Add("p99_us", h.ValueAtQuantile(99))
	percentiles.Add("max_us", h.Max())
	return &percentiles
}

// Programs returns the percentiles of the durations of programs from start to end, by
// rank, as an expvar value.
func (s *Set) Programs() expvar.Var {
	s.mu.Lock()
	defer s.mu.Unlock()
	var programs expvar.Map
	for rank, h := range s.latency {
		programs.Set(rank.String(), summary(h))
	}
	return &programs
}

// Write writes a JSON object. It contains the host's metrics under the key
// "citronpier", and the globally published expvar values of the process under
// their own names.
func (s *Set) Write(w io.Writer) error {
	var host expvar.Map
	host.Set("refusals", &s.Refusals)
	host.Set("retries", &s.Retries)
	host.Set("stages", &s.Stages)
	host.Set("dropped", &s.Dropped)
	host.Set("crashes", &s.Crashes)
	host.Set("admissions", &s.Admissions)
	host.Set("memory", &s.Memory)
	host.Set("choices", &s.Choices)
	host.Set("programs", s.Programs())
	host.Set("times", s.Times())
	for name, read := range s.gauges {
		host.Set(name, read())
	}
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
