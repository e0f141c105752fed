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

// figures are the latencies of whole programs, in milliseconds, without the
// pauses that the programs themselves made.
type figures struct {
	Programs int64   `json:"programs"`
	Mean     float64 `json:"mean"`
	P50      int64   `json:"p50"`
	P95      int64   `json:"p95"`
	P99      int64   `json:"p99"`
	Refused  int     `json:"refused"`
}

// row is the result of one scenario under one policy.
type row struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Ordinary figures `json:"ordinary"`
	Urgent   figures `json:"urgent"`
	Other    figures `json:"other"`
	All      figures `json:"all"`
	// Wasted is the share of prompt tokens, in percent, that were computed
	// though another engine held them.
	Wasted float64 `json:"wasted"`
	// Kept is the share, in percent, of the tokens generated during the
	// flood's half of the run that went to ordinary programs.
	Kept float64 `json:"kept"`
	// Busy is the share, in percent, of the slots' time that calls held during
	// the middle half of the run.
	Busy     float64        `json:"busy"`
	Refusals map[string]int `json:"refusals"`
	// CPU is the processor time of the whole process, in cores, and Memory its
	// heap in MiB; both include the stand-ins and the other policies' hosts.
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory"`
}

func newRow(s scenario, p policy, seed uint64, length time.Duration, all []outcome, f *launcher.Fleet, u used) row {
	r := row{
		Scenario: s.name, Policy: p.name, Seed: seed, Seconds: length.Seconds(),
		Refusals: make(map[string]int), CPU: u.cores, Memory: u.mebibytes,
	}
	r.Ordinary = figuresOf(all, func(o outcome) bool { return o.source.kind == "dealer" })
	r.Urgent = figuresOf(all, func(o outcome) bool { return o.source.urgent })
	r.Other = figuresOf(all, func(o outcome) bool { return o.source.kind == "owner" })
	r.All = figuresOf(all, func(outcome) bool { return true })
	for _, o := range all {
		if o.err != nil {
			r.Refusals[refusedAs(o.err)]++
		}
	}
	r.Wasted, r.Kept = ledgers(f, u.began, length)
	r.Busy = busy(f, u.began.Add(length/4), u.began.Add(length*3/4))
	return r
}

// ledgers reads from the engines what was wasted and what ordinary work kept.
func ledgers(f *launcher.Fleet, began time.Time, length time.Duration) (wasted, kept float64) {
	var prompt, again, ordinary, total int64
	from, to := began.Add(length/4), began.Add(length*3/4)
	for _, e := range f.Engines {
		for _, r := range e.Runs() {
			prompt += r.Prompt
			again += max(0, r.Elsewhere-r.Cached)
			if r.Ended.Before(from) || r.Ended.After(to) {
				continue
			}
			total += r.Generated
			if r.Priority > 0 {
				ordinary += r.Generated
			}
		}
	}
	return percent(again, prompt), percent(ordinary, total)
}

// busy returns the share of the slots' time that calls held between two times.
func busy(f *launcher.Fleet, from, to time.Time) float64 {
	var held time.Duration
	for _, e := range f.Engines {
		for _, r := range e.Runs() {
			begin, end := r.Began, r.Ended
			if begin.Before(from) {
				begin = from
			}
			if end.After(to) {
				end = to
			}
			held += max(0, end.Sub(begin))
		}
	}
	return percent(int64(held), int64(to.Sub(from))*engines*slots)
}

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func figuresOf(all []outcome, match func(outcome) bool) figures {
	h := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	var f figures
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

// usage measures what the process uses.
type usage struct {
	began time.Time
	cpu   time.Duration
}

type used struct {
	began     time.Time
	cores     float64
	mebibytes float64
}

func startUsage() usage { return usage{began: time.Now(), cpu: cpuTime()} }

func (u usage) stop() used {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return used{
		began:     u.began,
		cores:     (cpuTime() - u.cpu).Seconds() / time.Since(u.began).Seconds(),
		mebibytes: float64(m.HeapInuse) / (1 << 20),
	}
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func printRows(w io.Writer, rows []row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "scenario\tpolicy\tmean\turgent p50\tp95\tp99\tordinary p50\tp95\tp99\tother p95\twasted\tkept\tbusy\trefused\tprograms\tcores")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t%.0f%%\t%d\t%d\t%.1f\n",
			r.Scenario, r.Policy, r.All.Mean, r.Urgent.P50, r.Urgent.P95, r.Urgent.P99,
			r.Ordinary.P50, r.Ordinary.P95, r.Ordinary.P99, r.Other.P95, r.Wasted, r.Kept, r.Busy,
			r.All.Refused, r.All.Programs, r.CPU)
	}
	_ = t.Flush()
}
