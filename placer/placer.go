// Package placer decides which upstreams hold a shared part of prompts, such as the
// instructions that all programs of one kind begin with. It answers a load of many
// hosts that each send few requests to many engines: no host learns from its own
// requests which engines have a part in their cache, and if each host chose for itself,
// every engine would read every part again and again. All hosts therefore choose the
// same engines for a part, by a hash.
package placer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
)

const (
	// demandHalfLife is the time in which requests lose half of their weight in the
	// demand for a part.
	demandHalfLife = 20 * time.Second
	// headroom is the number of times by which the slots of the holders of a part exceed
	// the part's share of the demand, so that its requests find a free slot there.
	headroom = 2
	// minHolders is the number of holders of the rarest part: one may fail.
	minHolders = 2
	// priorRequests is the number of requests for other parts that are assumed besides
	// those that were seen.
	priorRequests = 32
	// maxParts bounds the parts whose demand is remembered. When there are more, the
	// rarest half is forgotten.
	maxParts = 4096
)

// Demand is how often each shared part was asked for of late. The zero value is ready
// to use. It is not safe for concurrent use.
type Demand struct {
	// parts has the decayed number of requests for each part by its id, and total is
	// their sum. Both are multiplied by a weight that grows with time in place of
	// decaying each of them.
	parts map[string]float64
	total float64
	// since is the time at which a request had the weight 1.
	since time.Time
}

// Add records a request for a part.
func (d *Demand) Add(part string, now time.Time) {
	if d.parts == nil {
		d.parts = make(map[string]float64)
		d.since = now
	}
	weight := d.weight(now)
	d.parts[part] += weight
	d.total += weight
	const maxWeight = 1 << 20
	if weight > maxWeight || len(d.parts) > maxParts {
		d.rescale(weight, now)
	}
}

// rescale makes the weight of a request at now 1 again, and forgets parts that were not
// asked for recently.
func (d *Demand) rescale(weight float64, now time.Time) {
	counts := make([]float64, 0, len(d.parts))
	for _, count := range d.parts {
		counts = append(counts, count)
	}
	slices.Sort(counts)
	least := counts[len(counts)/2]
	full := len(d.parts) > maxParts
	d.total, d.since = 0, now
	for part, count := range d.parts {
		if full && count < least {
			delete(d.parts, part)
			continue
		}
		d.parts[part] = count / weight
		d.total += count / weight
	}
}

// Share returns the share of the recent requests that asked for a part, from 0 to 1. It
// is too low rather than too high if there were few requests.
func (d *Demand) Share(part string, now time.Time) float64 {
	others := priorRequests * d.weight(now)
	return d.parts[part] / max(1, d.total+others)
}

// weight returns the weight of a request at now.
func (d *Demand) weight(now time.Time) float64 {
	return math.Exp2(float64(now.Sub(d.since)) / float64(demandHalfLife))
}

// Holders returns the upstreams that hold a part, given its share of the demand: those
// with the highest rendezvous hash of the part. If only the share changes, the holders
// of the smaller share are among those of the larger one.
func Holders(part string, share float64, upstreams []descriptor.Upstream) map[string]bool {
	count := min(len(upstreams), max(minHolders, int(math.Ceil(share*headroom*float64(len(upstreams))))))
	type ranked struct {
		id   string
		hash uint64
	}
	ranks := make([]ranked, 0, len(upstreams))
	for _, u := range upstreams {
		ranks = append(ranks, ranked{u.ID, hash(part, u.ID)})
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		if a.hash > b.hash {
			return -1
		}
		return 1
	})
	holders := make(map[string]bool, count)
	for _, r := range ranks[:count] {
		holders[r.id] = true
	}
	return holders
}

// hash returns the rendezvous hash of a part and an upstream.
func hash(part, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(part)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
