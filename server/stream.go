package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// keepAliveInterval is the time between the comments that are sent so that
// clients don't mistake a slow stream for a dead connection. The first comment
// also sends the status 200, which a later refusal can't change.
const keepAliveInterval = 2 * time.Second

// extension is the value of the field "citronpier" that is added to an OpenAI
// answer.
type extension struct {
	Token string `json:"token"`
	Call  string `json:"call"`
}

// withExtension returns the JSON text of an answer with the field "citronpier"
// added. It returns the text unchanged if the field can't be added.
func withExtension(data []byte, end *messenger.End) []byte {
	out, err := sjson.SetBytes(data, "citronpier", extension{Token: end.GetToken(), Call: end.GetCall()})
	if err != nil {
		return data
	}
	return out
}

// eventWriter writes the answer of one call as server-sent events.
type eventWriter struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	// includeUsage is true if the caller asked for the chunk with the token
	// counts.
	includeUsage bool
	// headerSent is true once the status and headers have been sent.
	headerSent bool
	// finalChunk is the chunk with the finish reason, and finalPosition is its
	// position in the stream. The chunk is kept until the stream ends, when the
	// program's new signed token is known and can be added to the chunk.
	finalChunk    []byte
	finalPosition int64
	// trailingChunks are the chunks after finalChunk. They hold the token counts.
	trailingChunks [][]byte
}

// stream answers a call with server-sent events, until the last frame or until
// the caller closes the connection.
func (s *Server) stream(ctx iris.Context, req *messenger.CallRequest, frames frameReader) {
	out := &eventWriter{
		writer:       ctx.ResponseWriter(),
		flusher:      ctx.ResponseWriter(),
		includeUsage: gjson.GetBytes(req.GetBody(), "stream_options.include_usage").Bool(),
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	requestContext := ctx.Request().Context()
	results := readFrames(requestContext, frames)
	for {
		select {
		case r := <-results:
			if s.sendFrame(ctx, out, r) {
				return
			}
		case <-keepAlive.C:
			out.sendKeepAlive()
		case <-requestContext.Done():
			return
		}
	}
}

// frameResult is the result of one read of a stream.
type frameResult struct {
	frame *messenger.Frame
	err   error
}

// readFrames reads frames in the background, until the last frame, an error or
// the end of ctx.
func readFrames(ctx context.Context, frames frameReader) <-chan frameResult {
	c := make(chan frameResult)
	go func() {
		for {
			f, err := frames.Next()
			select {
			case c <- frameResult{frame: f, err: err}:
			case <-ctx.Done():
				return
			}
			if err != nil || f.Last() {
				return
			}
		}
	}()
	return c
}

// sendFrame sends one frame to the caller and reports whether it was the last.
func (s *Server) sendFrame(ctx iris.Context, out *eventWriter, r frameResult) (ended bool) {
	if r.err != nil {
		refusal := refuser.From(r.err)
		s.config.Commands.CountRefused(refusal.Reason)
		out.fail(ctx, refusal)
		return true
	}
	switch body := r.frame.GetBody().(type) {
	case *messenger.Frame_Chunk:
		out.sendChunk(body.Chunk)
	case *messenger.Frame_End:
		out.sendEnd(body.End)
		return true
	case *messenger.Frame_Fault:
		out.fail(ctx, body.Fault.Refusal())
		return true
	}
	return false
}

// sendHeader sends the status and headers, unless they were already sent.
func (o *eventWriter) sendHeader() {
	if o.headerSent {
		return
	}
	o.headerSent = true
	h := o.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	o.writer.WriteHeader(http.StatusOK)
}

// sendKeepAlive sends a comment, which clients ignore.
func (o *eventWriter) sendKeepAlive() {
	o.sendHeader()
	_, _ = io.WriteString(o.writer, ": alive\n\n")
	o.flusher.Flush()
}

// sendEvent sends one chunk with its position as the ID, from which a client
// can resume with the header Last-Event-ID.
func (o *eventWriter) sendEvent(position int64, data []byte) {
	o.sendHeader()
	_, _ = fmt.Fprintf(o.writer, "id: %d\ndata: %s\n\n", position, data)
	o.flusher.Flush()
}

// sendChunk sends a chunk, except for the chunk with the finish reason and the
// chunks after it. These are kept for sendEnd.
func (o *eventWriter) sendChunk(c *messenger.Chunk) {
	part := gjson.ParseBytes(c.GetData())
	switch {
	case o.finalChunk != nil:
		o.trailingChunks = append(o.trailingChunks, c.GetData())
	case part.Get("choices.0.finish_reason").String() != "":
		o.finalChunk = c.GetData()
		o.finalPosition = c.GetPosition()
	default:
		o.sendEvent(c.GetPosition(), c.GetData())
	}
}

// sendEnd sends the kept chunks, including the program's new signed token, and
// the marker [DONE], which marks the answer as complete.
func (o *eventWriter) sendEnd(end *messenger.End) {
	if o.finalChunk != nil {
		o.sendEvent(o.finalPosition, withExtension(o.finalChunk, end))
	}
	for i, data := range o.trailingChunks {
		if o.includeUsage {
			o.sendEvent(o.finalPosition+int64(i)+1, data)
		}
	}
	o.sendHeader()
	_, _ = io.WriteString(o.writer, "data: [DONE]\n\n")
	o.flusher.Flush()
}

// fail ends the answer with a refusal. If the status 200 was already sent, the
// refusal is sent as an event and the marker [DONE] is omitted, so that no client
// takes the chunks for a complete answer.
func (o *eventWriter) fail(ctx iris.Context, r *refuser.Refusal) {
	if !o.headerSent {
		answerRefusal(ctx, r)
		return
	}
	raw, err := json.Marshal(newErrorBody(r))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(o.writer, "data: %s\n\n", raw)
	o.flusher.Flush()
}
