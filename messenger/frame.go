package messenger

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/refuser"
)

// AliveFrame returns a frame that only shows that the stream is alive. The flag sent is
// true if the call has been sent to the upstream.
func AliveFrame(sent bool) *Frame {
	return &Frame{Body: &Frame_Alive{Alive: &Alive{Sent: sent}}}
}

// ChunkFrame returns a frame with one chunk of a model's response. Positions count from 0.
func ChunkFrame(position int64, data []byte) *Frame {
	return &Frame{Body: &Frame_Chunk{Chunk: &Chunk{Position: position, Data: data}}}
}

// EndFrame returns the last frame of a complete model response.
func EndFrame(end *End) *Frame { return &Frame{Body: &Frame_End{End: end}} }

// ReplyFrame returns a frame with the response of a plain service. It is the last frame
// of its stream.
func ReplyFrame(reply *Reply) *Frame { return &Frame{Body: &Frame_Reply{Reply: reply}} }

// FaultFrame returns the last frame of a call that was refused or failed.
func FaultFrame(r *refuser.Refusal) *Frame { return &Frame{Body: &Frame_Fault{Fault: NewFault(r)}} }

// NewFault returns a Fault, which reports a refusal to another host. The Fault
// does not contain the refusal's cause.
func NewFault(r *refuser.Refusal) *Fault {
	return &Fault{
		Reason:  string(r.Reason),
		Message: r.Message,
		Run:     string(r.Run),
		RetryMs: r.Retry.Milliseconds(),
	}
}

// Refusal returns the refusal that the fault reports. The returned refusal has no
// cause.
func (f *Fault) Refusal() *refuser.Refusal {
	return refuser.New(refuser.Reason(f.GetReason()), "%s", f.GetMessage()).
		WithRun(descriptor.Run(f.GetRun())).
		WithRetry(time.Duration(f.GetRetryMs()) * time.Millisecond)
}

// Last reports whether the frame is the last one of its stream.
func (f *Frame) Last() bool {
	switch f.GetBody().(type) {
	case *Frame_End, *Frame_Fault, *Frame_Reply:
		return true
	default:
		return false
	}
}
