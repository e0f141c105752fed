package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/tidwall/gjson"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/arbiter"
	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/router"
	"github.com/citronpier/citronpier/scheduler"
	"github.com/citronpier/citronpier/sequencer"
)

// slope is a cost that is measured at several sizes, to find how the cost
// grows.
type slope struct {
	name string
	// unit is the unit of the cost; per names what the size counts, such as
	// hosts.
	unit, per string
	sizes     []int
	// measure returns the cost at a size, in unit.
	measure func(size int) float64
}

// slopes is the action of "bench slopes". It measures every cost at several
// sizes and prints the measured points and the line fitted through them: the
// fixed part, the cost per unit of size and the coefficient of determination
// (r2).
func slopes(context.Context, *cli.Command) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "what\tunit\tpoints\tfixed\tper size\tr2")
	for _, s := range allSlopes() {
		xs, ys := make([]float64, len(s.sizes)), make([]float64, len(s.sizes))
		points := make([]string, len(s.sizes))
		for i, size := range s.sizes {
			xs[i] = float64(size)
			ys[i] = s.measure(size)
			points[i] = fmt.Sprintf("%d: %.4g", size, ys[i])
		}
		fixed, per := stat.LinearRegression(xs, ys, nil, false)
		fit := stat.RSquared(xs, ys, nil, fixed, per)
		_, _ = fmt.Fprintf(t, "%s\t%s per %s\t%s\t%.4g\t%.4g\t%.3f\n",
			s.name, s.unit, s.per, strings.Join(points, ", "), fixed, per, fit)
	}
	return t.Flush()
}

func allSlopes() []slope {
	hosts := []int{7, 100, 365, 730}
	upstreams := []int{12, 1000, 5000, 10_000}
	return []slope{
		{"home of a key", "ns", "host", hosts, homeCost},
		{"list, as JSON", "bytes", "upstream", upstreams, listBytes},
		{"list, decoded and applied", "ns", "upstream", upstreams, listCost},
		{"loads, as a message", "bytes", "upstream", upstreams, loadBytes},
		{"choice of an upstream", "ns", "upstream", []int{4, 12, 32, 526}, choiceCost},
		{"push and pop of a queue", "ns", "waiting call", []int{100, 1000, 10_000}, queueCost},
		{"digest of a history", "ns", "turn", []int{1, 100, 440}, digestCost},
		{"budget entry", "bytes", "program", []int{1000, 10_000, 100_000}, budgetBytes},
		{"key entry", "bytes", "key", []int{1000, 10_000, 100_000}, keyBytes},
		{"rule file, parsed", "ns", "organisation", []int{10, 370, 3700}, rulesCost},
		{"rule file, held", "bytes", "organisation", []int{10, 370, 3700}, rulesBytes},
		{"records, decoded and applied", "ns", "record", []int{1000, 10_000, 100_000}, replayCost},
		{"intent and outcome, in a batch", "bytes", "call", []int{1, 10, 100}, recordBytes},
		{"program at its home", "bytes", "program", []int{1000, 5000, 20_000}, programBytes},
		{"idle host, processor", "% of a core", "host", []int{3, 7, 14, 28}, idleCPU},
		{"idle host, traffic", "bytes/s", "host", []int{3, 7, 14, 28}, idleBytes},
	}
}

// nsPerOperation returns the mean time of one operation, in nanoseconds.
func nsPerOperation(operation func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			operation()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// retainedBytes returns the heap bytes that the value returned by build keeps
// reachable.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// members returns a service-discovery list with made-up hosts and upstreams.
func members(hosts, upstreams int) descriptor.Members {
	var m descriptor.Members
	for i := range hosts {
		m.Hosts = append(m.Hosts, descriptor.Host{
			ID: fmt.Sprintf("host-%d", i), Caller: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
			Peer: fmt.Sprintf("10.1.%d.%d:8081", i/250, i%250), DataCentre: fmt.Sprintf("dc-%d", i%15),
		})
	}
	for i := range upstreams {
		m.Upstreams = append(m.Upstreams, descriptor.Upstream{
			ID: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.2.%d.%d:9000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%15), Models: []string{fmt.Sprintf("model-%d", i%19)}, Slots: 64,
		})
	}
	return m
}

// homeCost returns the time to find a program's home: the host that owns it by
// rendezvous hashing.
func homeCost(hosts int) float64 {
	v := locator.View{}.WithMembers(members(hosts, 0))
	now := time.Now()
	return nsPerOperation(func() { v.Home("program-1", now) })
}

func listBytes(upstreams int) float64 {
	raw, err := json.Marshal(members(0, upstreams))
	if err != nil {
		return 0
	}
	return float64(len(raw))
}

// listCost returns the time to decode a service-discovery list with 730 hosts and
// to build a host's view from it.
func listCost(upstreams int) float64 {
	raw, err := json.Marshal(members(730, upstreams))
	if err != nil {
		return 0
	}
	return nsPerOperation(func() {
		var m descriptor.Members
		_ = json.Unmarshal(raw, &m)
		_ = locator.View{}.WithMembers(m)
	})
}

func loadBytes(upstreams int) float64 {
	reply := &messenger.LoadsReply{}
	for i := range upstreams {
		reply.Loads = append(reply.Loads, &messenger.Load{
			Upstream: fmt.Sprintf("engine-%d", i), Running: 60, Queued: 12, Limit: 64, WaitUs: 123_456,
		})
	}
	return float64(proto.Size(reply))
}

// choiceCost returns the time to choose the upstream for a call.
func choiceCost(upstreams int) float64 {
	list := members(0, upstreams).Upstreams
	r := router.Request{Key: "program-1", Prompt: 2000, DataCentre: "dc-1"}
	return nsPerOperation(func() {
		var candidates []router.Candidate
		for i, u := range router.Sample(list, "engine-1", r) {
			candidates = append(candidates, router.Candidate{Upstream: u, Wait: time.Duration(i%7) * time.Millisecond})
		}
		router.Choose(candidates, r)
	})
}

// queueCost returns the time to pop a call from a queue of waiting calls and to
// push the call again.
func queueCost(waiting int) float64 {
	var q scheduler.Queue
	now := time.Now()
	item := func(i int) *scheduler.Item {
		return &scheduler.Item{
			Rank: descriptor.Rank(i % 2), Organisation: fmt.Sprintf("o-%d", i%37), Served: int64(i * 31 % 997), Cost: 64, Queued: now,
		}
	}
	for i := range waiting {
		q.Push(item(i))
	}
	return nsPerOperation(func() {
		i := q.Pop()
		i.Queued = now
		q.Push(i)
	})
}

// turnContent is the text that one turn adds to a history. The longest history
// that is measured has 440 turns and 240,000 tokens of 4 bytes each.
var turnContent = strings.Repeat("x", 240_000*4/440)

// digestCost returns the time to compute the digest of a message history with
// the given number of turns.
func digestCost(turns int) float64 {
	messages := make([]map[string]string, turns)
	for i := range messages {
		messages[i] = map[string]string{"role": "user", "content": turnContent}
	}
	raw, err := json.Marshal(messages)
	if err != nil {
		return 0
	}
	return nsPerOperation(func() { sequencer.Chain(gjson.ParseBytes(raw), int64(turns-1)) })
}

// budgetBytes returns the heap bytes of the token-budget entries of programs.
func budgetBytes(programs int) float64 {
	return retainedBytes(func() any {
		var l budgeter.Ledger
		for i := range programs {
			l.Grant(int64(i), &recorder.Grant{
				Program: fmt.Sprintf("program-%026d", i), Holder: fmt.Sprintf("%026d", i), Budget: 1000, Ceiling: 500,
			})
		}
		return &l
	})
}

// keyBytes returns the heap bytes of the entries of idempotency keys, each with a
// call's intent and its outcome, whose body has 100 bytes.
func keyBytes(keys int) float64 {
	return retainedBytes(func() any {
		var l arbiter.Ledger
		for i := range keys {
			key := fmt.Sprintf("organisation\x00key-%026d", i)
			sender := fmt.Sprintf("%026d/%d", i, i)
			l.ApplyIntent(int64(i), &recorder.Intent{Key: key, Sender: sender, Digest: make([]byte, 64), Host: "host-1"})
			l.ApplyOutcome(int64(i), &recorder.Outcome{Key: key, Sender: sender, Status: 200, Type: "application/json", Body: make([]byte, 100)})
		}
		return &l
	})
}

// ruleText returns a rule file with an organisation rule and a kind rule for each
// organisation.
func ruleText(organisations int) string {
	var b strings.Builder
	for i := range organisations {
		fmt.Fprintf(&b, "organisation o-%d key %064x weight 1 # Anil: asked in June\n", i, i)
		fmt.Fprintf(&b, "kind k-%d rank urgent budget 6000 share 95 within 20s # Meera: asked in June\n", i)
	}
	return b.String()
}

func rulesCost(organisations int) float64 {
	text := ruleText(organisations)
	return nsPerOperation(func() { _, _ = parser.Parser{}.Parse(text) })
}

func rulesBytes(organisations int) float64 {
	text := ruleText(organisations)
	return retainedBytes(func() any {
		r, err := parser.Parser{}.Parse(text)
		if err != nil {
			return nil
		}
		return &r
	})
}

// batchRecords is the number of records that grantBatch puts into one batch. A
// batch is the unit in which records are appended to the log.
const batchRecords = 50

// grantBatch returns an encoded batch with one budget grant for each of
// batchRecords programs. The numbers in the programs' ids start at first.
func grantBatch(first int) []byte {
	b := &recorder.Batch{Version: 1, Writer: "writer", Sequence: uint64(first + 1)}
	for i := range batchRecords {
		b.Records = append(b.Records, &recorder.Record{Body: &recorder.Record_Grant{Grant: &recorder.Grant{
			Program: fmt.Sprintf("program-%026d", first+i), Holder: "holder", Budget: 1000, Ceiling: 500,
		}}})
	}
	raw, err := proto.Marshal(b)
	if err != nil {
		return nil
	}
	return raw
}

// replayCost returns the time to decode batches from the log and to apply their
// records to an empty ledger of budgets.
func replayCost(records int) float64 {
	var batches [][]byte
	for first := 0; first < records; first += batchRecords {
		batches = append(batches, grantBatch(first))
	}
	return nsPerOperation(func() {
		var l budgeter.Ledger
		for offset, raw := range batches {
			var b recorder.Batch
			_ = proto.Unmarshal(raw, &b)
			for _, r := range b.GetRecords() {
				l.Apply(int64(offset), r)
			}
		}
	})
}

// recordBytes returns the encoded size of a batch that contains an intent and
// an outcome for each service call. calls is the number of service calls.
func recordBytes(calls int) float64 {
	b := &recorder.Batch{Version: 1, Writer: strings.Repeat("w", 26), Sequence: 1}
	for i := range calls {
		key := fmt.Sprintf("organisation\x00key-%026d", i)
		sender := strings.Repeat("w", 26) + "/1"
		b.Records = append(
			b.Records,
			&recorder.Record{Body: &recorder.Record_Intent{Intent: &recorder.Intent{
				Key: key, Sender: sender, Digest: make([]byte, 64), Host: "host-1", Service: "timer",
			}}},
			&recorder.Record{Body: &recorder.Record_Outcome{Outcome: &recorder.Outcome{
				Key: key, Sender: sender, Status: 200, Type: "application/json", Body: make([]byte, 100),
			}}},
		)
	}
	return float64(proto.Size(b))
}
