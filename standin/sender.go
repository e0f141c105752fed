package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// commentInterval is the interval between keep-alive comments in an engine's stream.
const commentInterval = 400 * time.Millisecond

// send writes an answer as server-sent events, beginning with the chunk at
// position, and waits for further chunks until the answer ends or the client
// disconnects.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, g *generation, position int) {
	opened := time.Now()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, ok := w.(http.Flusher)
	if !ok {
		abort()
	}
	flusher.Flush()
	comment := time.NewTicker(commentInterval)
	defer comment.Stop()
	for {
		if e.isSilent(opened) {
			<-r.Context().Done()
			return
		}
		chunks, done, changed := g.chunksFrom(position)
		for _, p := range chunks {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", p)
			position++
		}
		if done {
			e.finish(w, g)
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-comment.C:
			_, _ = io.WriteString(w, ": alive\n\n")
		case <-r.Context().Done():
			return
		}
	}
}

// finish ends a stream. After a complete answer it sends the [DONE] marker. After
// an incomplete answer it closes the connection without the marker.
func (e *Engine) finish(w http.ResponseWriter, g *generation) {
	e.mu.Lock()
	complete := g.run.Done || g.run.Ended.IsZero()
	e.mu.Unlock()
	if !complete || !g.isComplete() {
		abort()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
