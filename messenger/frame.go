package messenger

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/refuser"
)

// AliveFrame returns a frame that shows progress. Sent says that the upstream
// has been given the call.
func AliveFrame(sent bool) *Frame {
	return &Frame{Body: &Frame_Alive{Alive: &Alive{Sent: sent}}}
}

// ChunkFrame returns a frame with one part of an answer.
func ChunkFrame(position int64, data []byte) *Frame {
	return &Frame{Body: &Frame_Chunk{Chunk: &Chunk{Position: position, Data: data}}}
}

// EndFrame returns a frame that marks a whole answer.
func EndFrame(end *End) *Frame { return &Frame{Body: &Frame_End{End: end}} }

// ReplyFrame returns a frame with a plain service's answer.
func ReplyFrame(reply *Reply) *Frame { return &Frame{Body: &Frame_Reply{Reply: reply}} }

// FaultFrame returns a frame with a refusal.
func FaultFrame(r *refuser.Refusal) *Frame { return &Frame{Body: &Frame_Fault{Fault: NewFault(r)}} }

// NewFault returns a refusal as a message.
func NewFault(r *refuser.Refusal) *Fault {
	return &Fault{
		Reason:  string(r.Reason),
		Message: r.Message,
		Run:     string(r.Run),
		RetryMs: r.Retry.Milliseconds(),
	}
}

// Refusal returns the fault as a refusal.
func (f *Fault) Refusal() *refuser.Refusal {
	return refuser.New(refuser.Reason(f.GetReason()), "%s", f.GetMessage()).
		WithRun(descriptor.Run(f.GetRun())).
		WithRetry(time.Duration(f.GetRetryMs()) * time.Millisecond)
}

// Last reports whether no frame follows.
func (f *Frame) Last() bool {
	switch f.GetBody().(type) {
	case *Frame_End, *Frame_Fault, *Frame_Reply:
		return true
	default:
		return false
	}
}
