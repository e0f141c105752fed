package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

// crashNotes is a CrashStore that keeps all reports.
type crashNotes map[string]*messenger.Crash

func (s crashNotes) Learn(c *messenger.Crash, _ time.Time) (*messenger.Crash, bool) {
	_, known := s[c.GetCrash()]
	s[c.GetCrash()] = c
	return c, !known
}

func (s crashNotes) Known(time.Time) []*messenger.Crash {
	var known []*messenger.Crash
	for _, c := range s {
		known = append(known, c)
	}
	return known
}

// crashKnownWithin is the time in which all hosts in touch have to know a crash: the smallest
// window that the users name.
const crashKnownWithin = 3 * time.Second

// reports is the number of reports that are spread at the same time, such as those of all
// requests that an upstream ran when it ended.
const reports = 30

// report lets a host report crashes.
func (f *fleet) report(host, count int) {
	for n := range count {
		c := &messenger.Crash{Fingerprint: fmt.Sprintf("%016x", n), Crash: fmt.Sprintf("i-%08x/1764900000000", n)}
		f.hosts[host].crashStore.Learn(c, f.now)
		f.hosts[host].ReportCrash(c)
	}
}

// untilKnown lets time pass until each running host knows the number of reports.
func (f *fleet) untilKnown(count int, limit time.Duration) time.Duration {
	for passed := time.Duration(0); passed < limit; passed += 10 * time.Millisecond {
		missing := 0
		for i, d := range f.hosts {
			if !f.down[i] && !f.now.Before(f.frozen[i]) && len(d.knownCrashes(f.now)) < count {
				missing++
			}
		}
		if missing == 0 {
			return passed
		}
		f.run(10 * time.Millisecond)
	}
	return limit
}

func (f *fleet) keepCrashNotes() {
	for _, d := range f.hosts {
		d.keepCrashes(make(crashNotes))
	}
}

func TestCrashReportMissedByHosts(t *testing.T) {
	for _, c := range []struct {
		hosts int
		loss  float64
	}{{7, 0.01}, {37, 0.01}, {140, 0.01}, {140, 0.2}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			f := newFleet(c.hosts, 7)
			f.keepCrashNotes()
			f.run(5 * time.Second)
			f.loss = c.loss
			f.report(1, reports)
			took := f.untilKnown(reports, 2*crashKnownWithin)
			t.Logf("known to all after %s", took)
			if took > crashKnownWithin {
				t.Errorf("not all of %d hosts know %d reports after %s", c.hosts, reports, took)
			}
		})
	}
}

func TestCrashReportMissedByHostThatStoodStillOrRestarted(t *testing.T) {
	f := newFleet(37, 9)
	f.keepCrashNotes()
	f.run(5 * time.Second)
	f.frozen[5] = f.now.Add(4 * time.Second)
	f.down[6] = true
	f.cut = func(from, to int) bool { return from == 8 || to == 8 }
	f.report(1, 3)
	f.run(5 * time.Second)
	f.cut = nil
	f.start(6, 2)
	f.hosts[6].keepCrashes(make(crashNotes))
	if took := f.untilKnown(3, 2*crashKnownWithin); took > crashKnownWithin {
		t.Errorf("not known after %s: %d, %d and %d of 3 reports", took,
			len(f.hosts[5].knownCrashes(f.now)), len(f.hosts[6].knownCrashes(f.now)), len(f.hosts[8].knownCrashes(f.now)))
	}
}
