package standin

import (
	"context"
	"sync"

	"github.com/tidwall/gjson"
)

// generation is one call's answer so far.
type generation struct {
	run    *EngineRun
	prompt []prefix
	words  []string
	model  string
	finish string
	turn   chan struct{}
	cancel context.CancelFunc

	mu    sync.Mutex
	parts [][]byte
	done  bool
	grown chan struct{}
}

func (g *generation) add(part []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts = append(g.parts, part)
	close(g.grown)
	g.grown = make(chan struct{})
}

func (g *generation) complete() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
	close(g.grown)
	g.grown = make(chan struct{})
}

func (g *generation) from(position int) (parts [][]byte, done bool, grown <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.parts[min(position, len(g.parts)):], g.done, g.grown
}

// whole reports whether every part was generated.
func (g *generation) whole() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.parts) > 0 && gjson.GetBytes(g.parts[len(g.parts)-1], "usage").IsObject()
}
