package keeper

import (
	"sync"
	"time"
)

const (
	// firstPaceBytes is the size of the calls of a divided batch until appends have shown how fast
	// the store takes them, in bytes.
	firstPaceBytes = 256 << 10
	// minPaceBytes and maxPaceBytes bound the size of such calls, in bytes. The time of appends
	// that are not above minPaceBytes counts as that which each append takes, whatever its size.
	minPaceBytes = 64 << 10
	maxPaceBytes = 4 << 20
	// paceTime is how long the bytes of a call may take, besides what each append takes.
	paceTime = 150 * time.Millisecond
	// paceFactor is the factor by which calls grow at most, and by which they shrink after a
	// failure.
	paceFactor = 2
	// meanDivisor sets the weight of the newest time in the mean time of small appends: a quarter.
	meanDivisor = 4
)

// pace chooses the size of the calls of divided batches: as few calls as possible, each of which
// ends in time on the link that it shares with others. The zero value has seen no append. It is
// safe for concurrent use.
type pace struct {
	mu sync.Mutex
	// small is the mean time of small appends; 0 if there was none.
	small time.Duration
	// bytes is the size of the next calls; 0 is firstPaceBytes.
	bytes int
}

// size returns the size limit of the next call, in bytes.
func (p *pace) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current()
}

// current returns the size of the next calls. The caller holds mu.
func (p *pace) current() int {
	if p.bytes == 0 {
		return firstPaceBytes
	}
	return p.bytes
}

// succeeded notes that an append of some size took some time.
func (p *pace) succeeded(size int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if size <= minPaceBytes {
		p.addSmall(took)
		return
	}
	fitting := maxPaceBytes
	if ofBytes := took - p.small; ofBytes > 0 {
		fitting = min(maxPaceBytes, int(int64(size)*int64(paceTime)/int64(ofBytes)))
	}
	switch current := p.current(); {
	case fitting < current:
		p.bytes = max(minPaceBytes, fitting)
	case size > current/paceFactor:
		p.bytes = min(fitting, paceFactor*current)
	}
}

// addSmall adds the time of a small append to the mean. The caller holds mu.
func (p *pace) addSmall(took time.Duration) {
	if p.small == 0 {
		p.small = took
		return
	}
	p.small += (took - p.small) / meanDivisor
}

// lost notes that an append of some size had no answer in time.
func (p *pace) lost(size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if size > minPaceBytes {
		p.bytes = max(minPaceBytes, min(p.current(), size)/paceFactor)
	}
}
