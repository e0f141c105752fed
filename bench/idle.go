package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/launcher"
	"github.com/citronpier/citronpier/standin"
)

// idleDuration is how long the resource usage of an idle fleet is measured.
const idleDuration = 5 * time.Second

// measureIdleFleet starts n hosts, calls measure when the hosts are ready and
// returns the result of measure. The only calls that the hosts receive are
// those that measure sends. measureIdleFleet returns 0 if the hosts do not
// become ready.
func measureIdleFleet(n int, measure func(*launcher.Fleet) float64) float64 {
	f, err := launcher.Start(launcher.Config{
		Network: launcher.Loopback(), DataCentres: []string{"kochi", "thrissur", "kozhikode"},
		Hosts: n, Engines: 12, Engine: standin.EngineConfig{Slots: 8}, Model: model, Rules: ruleFile(),
	})
	if err != nil {
		return 0
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		return 0
	}
	return measure(f)
}

// idleCPU returns the processor usage of one idle host, in percent of a core.
// The fakes of the platform run in the same process, so their usage is
// included.
func idleCPU(n int) float64 {
	return measureIdleFleet(n, func(*launcher.Fleet) float64 {
		before := cpuTime()
		time.Sleep(idleDuration)
		return 100 * (cpuTime() - before).Seconds() / idleDuration.Seconds() / float64(n)
	})
}

// idleBytes returns the number of bytes that one idle host sends and receives
// per second.
func idleBytes(n int) float64 {
	return measureIdleFleet(n, func(f *launcher.Fleet) float64 {
		before := transferredBytes(f)
		time.Sleep(idleDuration)
		return float64(transferredBytes(f)-before) / idleDuration.Seconds() / float64(n)
	})
}

// transferredBytes returns the bytes that all hosts have sent and received so far.
func transferredBytes(f *launcher.Fleet) int64 {
	var sum int64
	for _, h := range f.Hosts {
		sent, received := h.Link.Bytes()
		sum += sent + received
	}
	return sum
}

// programBytes returns the heap bytes that open programs without calls occupy
// on the host that owns them. It starts a single host, which owns all programs.
func programBytes(programs int) float64 {
	return measureIdleFleet(1, func(f *launcher.Fleet) float64 {
		client := caller.New(examples.DeepamKey, f.Callers(), nil)
		heap := func() float64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return float64(m.HeapAlloc)
		}
		before := heap()
		for range programs {
			if _, err := client.Open(context.Background(), "dealer", 0); err != nil {
				fmt.Println("open program:", err)
				return 0
			}
		}
		return heap() - before
	})
}
