package exchanger

import (
	"fmt"
	"time"
)

// WithdrawnError reports that the request was not sent, as Attempt.Withdrawn demanded.
type WithdrawnError struct{}

// Error implements the error interface.
func (*WithdrawnError) Error() string { return "the request was withdrawn before it was sent" }

// NotRunError reports that the upstream answered that it did not run the
// request. A retry is safe.
type NotRunError struct {
	// Upstream is the id of the upstream.
	Upstream string
	// Status is the HTTP status of the response.
	Status int
	// Notice is what the upstream says of itself.
	Notice Notice
}

// Error implements the error interface.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("upstream %s did not run the request: status %d", e.Upstream, e.Status)
}

// IncompleteError reports that at least part of the request was sent and that no
// complete, valid response arrived. The upstream may have run the request.
type IncompleteError struct {
	// Upstream is the id of the upstream.
	Upstream string
	Cause    error
}

// Error implements the error interface.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("no complete response from upstream %s: %v", e.Upstream, e.Cause)
}

// Unwrap returns the reason why there is no complete response.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// HeaderTimeoutError reports that the header of a response did not arrive within
// Attempt.HeaderTimeout.
type HeaderTimeoutError struct{ After time.Duration }

// Error implements the error interface.
func (e *HeaderTimeoutError) Error() string {
	return fmt.Sprintf("no response header within %s", e.After)
}

// NoStampError reports a response with a success status that fails
// Codec.HasStamp: an intermediary may have produced it.
type NoStampError struct{ Status int }

// Error implements the error interface.
func (e *NoStampError) Error() string {
	return fmt.Sprintf("response with status %d has no proof that the upstream produced it", e.Status)
}

// FramingError reports a head whose fields do not tell where the body ends.
type FramingError struct{ Cause error }

// Error implements the error interface.
func (e *FramingError) Error() string {
	return "head of the response frames no body: " + e.Cause.Error()
}

// Unwrap returns what is wrong with the fields.
func (e *FramingError) Unwrap() error { return e.Cause }

// MisdeliveredError reports a response that belongs to another request. RequestID is the
// request id in the response. An empty RequestID means that the response was being
// discarded and its body was too long.
type MisdeliveredError struct{ RequestID string }

// Error implements the error interface.
func (e *MisdeliveredError) Error() string {
	return "response belongs to another request: " + e.RequestID
}
