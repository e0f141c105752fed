package standin

import (
	"context"
	"sync"

	"github.com/tidwall/gjson"
)

// generation is a call at an engine and the part of its answer generated so
// far. Any number of clients can read the chunks while they are generated.
type generation struct {
	run    *EngineRun
	prompt []prefix
	// words is the answer to generate, and finish is the answer's finish reason.
	words  []string
	model  string
	finish string
	// admitted is closed when the call gets a slot.
	admitted chan struct{}
	cancel   context.CancelFunc

	mu sync.Mutex
	// chunks are the encoded events of the answer so far.
	chunks [][]byte
	// done reports whether the call has ended, even if its answer is incomplete.
	done bool
	// changed is closed and replaced when chunks or done changes.
	changed chan struct{}
}

func (g *generation) appendChunk(chunk []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chunks = append(g.chunks, chunk)
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) markDone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
	close(g.changed)
	g.changed = make(chan struct{})
}

// chunksFrom returns the chunks from a position on, whether the call has ended, and
// a channel that is closed at the next change of either.
func (g *generation) chunksFrom(position int) (chunks [][]byte, done bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chunks[min(position, len(g.chunks)):], g.done, g.changed
}

// isComplete reports whether the complete answer was generated. It checks that the
// last chunk holds the token usage.
func (g *generation) isComplete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.chunks) > 0 && gjson.GetBytes(g.chunks[len(g.chunks)-1], "usage").IsObject()
}
