package main

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronpier/citronpier/launcher"
)

// latencyStats holds statistics of the latencies of programs. A latency is the
// time from a program's scheduled start to its end, in milliseconds, minus the
// pauses between its calls.
type latencyStats struct {
	// Programs counts the programs that finished. The other programs are not
	// part of the latencies.
	Programs int64   `json:"programs"`
	Mean     float64 `json:"mean"`
	P50      int64   `json:"p50"`
	P95      int64   `json:"p95"`
	P99      int64   `json:"p99"`
	// Refused counts the programs that ended with an error.
	Refused int `json:"refused"`
}

// row is the result of one scenario under one policy.
type row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Seconds is the time during which programs arrived.
	Seconds float64 `json:"seconds"`
	// Ordinary and Urgent are for the ordinary and the urgent programs of the
	// organisation deepam, Other is for the ordinary programs of the
	// organisation baromedr, and All is for all programs.
	Ordinary latencyStats `json:"ordinary"`
	Urgent   latencyStats `json:"urgent"`
	Other    latencyStats `json:"other"`
	All      latencyStats `json:"all"`
	// Wasted is the share of prompt tokens, in percent, that an engine computed
	// although another engine had them in its cache.
	Wasted float64 `json:"wasted"`
	// OrdinaryShare is the share of generated tokens, in percent, that went to
	// ordinary programs. It counts the calls that ended in the middle half of
	// the run, in which flood scenarios increase an arrival rate.
	OrdinaryShare float64 `json:"kept"`
	// Busy is the utilisation of the engines' slots, in percent, in the middle
	// half of the run.
	Busy float64 `json:"busy"`
	// Refusals counts the failed programs by the type of their error.
	Refusals map[string]int `json:"refusals"`
	// CPU is the processor usage of the whole process, in cores, and Memory is
	// the heap of the process, in MiB. Both include the fakes, and the hosts of
	// the other policies, which run in the same process at the same time.
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory"`
}

func newRow(s scenario, p policy, seed uint64, length time.Duration, all []outcome, f *launcher.Fleet, u resourceUsage) row {
	r := row{
		Scenario: s.name, Policy: p.name, Seed: seed, Seconds: length.Seconds(),
		Refusals: make(map[string]int), CPU: u.cores, Memory: u.mebibytes,
	}
	r.Ordinary = statsOf(all, func(o outcome) bool { return o.source.kind == "dealer" })
	r.Urgent = statsOf(all, func(o outcome) bool { return o.source.urgent })
	r.Other = statsOf(all, func(o outcome) bool { return o.source.kind == "owner" })
	r.All = statsOf(all, func(outcome) bool { return true })
	for _, o := range all {
		if o.err != nil {
			r.Refusals[refusalType(o.err)]++
		}
	}
	r.Wasted, r.OrdinaryShare = tokenShares(f, u.start, length)
	r.Busy = slotUtilisation(f, u.start.Add(length/4), u.start.Add(length*3/4))
	return r
}

// tokenShares returns two percentages from the calls that the engines recorded:
// the prompt tokens that were computed although another engine had them in its
// cache, and, in the middle half of the run, the generated tokens that went to
// ordinary programs.
func tokenShares(f *launcher.Fleet, start time.Time, length time.Duration) (wastedShare, ordinaryShare float64) {
	var prompt, recomputed, ordinary, total int64
	from, to := start.Add(length/4), start.Add(length*3/4)
	for _, e := range f.Engines {
		for _, r := range e.Runs() {
			prompt += r.Prompt
			recomputed += max(0, r.PeerCached-r.Cached)
			if r.Ended.Before(from) || r.Ended.After(to) {
				continue
			}
			total += r.Generated
			if r.Priority > 0 {
				ordinary += r.Generated
			}
		}
	}
	return percent(recomputed, prompt), percent(ordinary, total)
}

// slotUtilisation returns the share of the time between from and to, in
// percent, during which the engines' slots were occupied by calls. It is the
// mean over all slots.
func slotUtilisation(f *launcher.Fleet, from, to time.Time) float64 {
	var occupied time.Duration
	for _, e := range f.Engines {
		for _, r := range e.Runs() {
			begin, end := r.Began, r.Ended
			if begin.Before(from) {
				begin = from
			}
			if end.After(to) {
				end = to
			}
			occupied += max(0, end.Sub(begin))
		}
	}
	return percent(int64(occupied), int64(to.Sub(from))*engines*slots)
}

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// statsOf returns the statistics of the outcomes for which match returns true.
// Programs that ended with an error are counted as refused, and their latencies
// are ignored.
func statsOf(all []outcome, match func(outcome) bool) latencyStats {
	h := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	var f latencyStats
	for _, o := range all {
		switch {
		case !match(o):
		case o.err != nil:
			f.Refused++
		default:
			_ = h.RecordValue(max(1, o.latency.Milliseconds()))
		}
	}
	f.Programs = h.TotalCount()
	f.Mean = h.Mean()
	f.P50 = h.ValueAtQuantile(50)
	f.P95 = h.ValueAtQuantile(95)
	f.P99 = h.ValueAtQuantile(99)
	return f
}

// usageMeter measures the resource usage of the process. It holds the time at
// the start of the measurement and the processor time used until then.
type usageMeter struct {
	start time.Time
	cpu   time.Duration
}

// resourceUsage is the result of a measurement: the mean number of processor
// cores that the process used from start until the end of the measurement, and
// the heap in use at the end.
type resourceUsage struct {
	start     time.Time
	cores     float64
	mebibytes float64
}

func startUsageMeter() usageMeter { return usageMeter{start: time.Now(), cpu: cpuTime()} }

func (u usageMeter) stop() resourceUsage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{
		start:     u.start,
		cores:     (cpuTime() - u.cpu).Seconds() / time.Since(u.start).Seconds(),
		mebibytes: float64(m.HeapInuse) / (1 << 20),
	}
}

// cpuTime returns the user and system time of the process so far, or 0 if
// getrusage fails.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// printRows writes the rows as a table. Latencies are in milliseconds.
func printRows(w io.Writer, rows []row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "scenario\tpolicy\tmean\turgent p50\tp95\tp99\tordinary p50\tp95\tp99\tother p95\twasted\tkept\tbusy\trefused\tprograms\tcores")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t%.0f%%\t%d\t%d\t%.1f\n",
			r.Scenario, r.Policy, r.All.Mean, r.Urgent.P50, r.Urgent.P95, r.Urgent.P99,
			r.Ordinary.P50, r.Ordinary.P95, r.Ordinary.P99, r.Other.P95, r.Wasted, r.OrdinaryShare, r.Busy,
			r.All.Refused, r.All.Programs, r.CPU)
	}
	_ = t.Flush()
}
