package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// commentEvery is the time between an engine's keep-alive comments.
const commentEvery = 400 * time.Millisecond

// send writes an answer as server-sent events from a position on.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, g *generation, position int) {
	opened := time.Now()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, ok := w.(http.Flusher)
	if !ok {
		abort()
	}
	flusher.Flush()
	comment := time.NewTicker(commentEvery)
	defer comment.Stop()
	for {
		if e.isSilent(opened) {
			<-r.Context().Done()
			return
		}
		parts, done, grown := g.from(position)
		for _, p := range parts {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", p)
			position++
		}
		if done {
			e.finish(w, g)
			return
		}
		flusher.Flush()
		select {
		case <-grown:
		case <-comment.C:
			_, _ = io.WriteString(w, ": alive\n\n")
		case <-r.Context().Done():
			return
		}
	}
}

// finish marks a whole answer; one that was cut ends without the marker.
func (e *Engine) finish(w http.ResponseWriter, g *generation) {
	e.mu.Lock()
	whole := g.run.Done || g.run.Ended.IsZero()
	e.mu.Unlock()
	if !whole || !g.whole() {
		abort()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
