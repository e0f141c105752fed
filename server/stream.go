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

// aliveEvery is the time between the comments that keep a stream from looking
// silent. The first also commits the answer's status.
const aliveEvery = 2 * time.Second

// extension is the field that the system adds to an answer.
type extension struct {
	Token string `json:"token"`
	Call  string `json:"call"`
}

// extended returns an answer with the system's field added.
func extended(data []byte, end *messenger.End) []byte {
	out, err := sjson.SetBytes(data, "citronpier", extension{Token: end.GetToken(), Call: end.GetCall()})
	if err != nil {
		return data
	}
	return out
}

// sender writes one answer as server-sent events.
type sender struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	// usage says that the caller asked for the usage part.
	usage bool
	begun bool
	// closing is the part that gives the reason for the answer's end. It is
	// held back to carry the token, which is known only after the last part.
	closing  []byte
	position int64
	trailing [][]byte
}

// stream answers a call with server-sent events.
func (s *Server) stream(ctx iris.Context, req *messenger.CallRequest, frames frameReader) {
	out := &sender{
		writer:  ctx.ResponseWriter(),
		flusher: ctx.ResponseWriter(),
		usage:   gjson.GetBytes(req.GetBody(), "stream_options.include_usage").Bool(),
	}
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	gone := ctx.Request().Context()
	next := pump(gone, frames)
	for {
		select {
		case r := <-next:
			if s.frame(ctx, out, r) {
				return
			}
		case <-alive.C:
			out.comment()
		case <-gone.Done():
			return
		}
	}
}

type received struct {
	frame *messenger.Frame
	err   error
}

// pump reads frames until the last one or the end of the request.
func pump(ctx context.Context, frames frameReader) <-chan received {
	c := make(chan received)
	go func() {
		for {
			f, err := frames.Next()
			select {
			case c <- received{frame: f, err: err}:
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

// frame passes one frame on and reports whether the answer has ended.
func (s *Server) frame(ctx iris.Context, out *sender, r received) (ended bool) {
	if r.err != nil {
		refusal := refuser.From(r.err)
		s.config.Commands.Refused(refusal.Reason)
		out.fail(ctx, refusal)
		return true
	}
	switch body := r.frame.GetBody().(type) {
	case *messenger.Frame_Chunk:
		out.chunk(body.Chunk)
	case *messenger.Frame_End:
		out.end(body.End)
		return true
	case *messenger.Frame_Fault:
		out.fail(ctx, body.Fault.Refusal())
		return true
	}
	return false
}

func (o *sender) begin() {
	if o.begun {
		return
	}
	o.begun = true
	h := o.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	o.writer.WriteHeader(http.StatusOK)
}

func (o *sender) comment() {
	o.begin()
	_, _ = io.WriteString(o.writer, ": alive\n\n")
	o.flusher.Flush()
}

func (o *sender) event(position int64, data []byte) {
	o.begin()
	_, _ = fmt.Fprintf(o.writer, "id: %d\ndata: %s\n\n", position, data)
	o.flusher.Flush()
}

func (o *sender) chunk(c *messenger.Chunk) {
	part := gjson.ParseBytes(c.GetData())
	switch {
	case o.closing != nil:
		o.trailing = append(o.trailing, c.GetData())
	case part.Get("choices.0.finish_reason").String() != "":
		o.closing = c.GetData()
		o.position = c.GetPosition()
	default:
		o.event(c.GetPosition(), c.GetData())
	}
}

// end sends what was held back and marks the answer as whole.
func (o *sender) end(end *messenger.End) {
	if o.closing != nil {
		o.event(o.position, extended(o.closing, end))
	}
	for i, data := range o.trailing {
		if o.usage {
			o.event(o.position+int64(i)+1, data)
		}
	}
	o.begin()
	_, _ = io.WriteString(o.writer, "data: [DONE]\n\n")
	o.flusher.Flush()
}

// fail ends the answer with a refusal. Once parts were sent there is no end
// marker, so that no client takes them for a whole answer.
func (o *sender) fail(ctx iris.Context, r *refuser.Refusal) {
	if !o.begun {
		answerRefusal(ctx, r)
		return
	}
	raw, err := json.Marshal(newFailure(r))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(o.writer, "data: %s\n\n", raw)
	o.flusher.Flush()
}
