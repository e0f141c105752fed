package exchanger

import (
	"fmt"
	"io"

	"github.com/citronpier/citronpier/allocator"
)

const (
	// maxHeaderBytes is the maximum size in bytes of the header of a response, together with
	// the interim responses before it.
	maxHeaderBytes = 256 << 10
	// headerFactor is the memory that a header takes while it is parsed, in multiples of its
	// bytes: a line is assembled in a growing buffer, and its fields are copied.
	headerFactor = 4
)

// HeaderTooLongError reports that an upstream sent more than maxHeaderBytes without
// completing the header of a response.
type HeaderTooLongError struct{}

// Error implements the error interface.
func (*HeaderTooLongError) Error() string {
	return fmt.Sprintf("header of the response is longer than %d bytes", maxHeaderBytes)
}

// headerReader reads from a connection. Between begin and end it bounds what is read. It is
// not safe for concurrent use.
type headerReader struct {
	source io.Reader
	// grant is the memory of the header that is being read; nil between headers.
	grant *allocator.Grant
	// read is the number of bytes of the header read so far.
	read int64
	// err is why the rest of the header is not read: a *HeaderTooLongError or an
	// *allocator.ExhaustedError.
	err error
}

// begin begins a header that takes its memory from a grant.
func (r *headerReader) begin(grant *allocator.Grant) { r.grant, r.read, r.err = grant, 0, nil }

// end ends the header. What is read from now on is not bounded.
func (r *headerReader) end() { r.grant = nil }

// Read implements io.Reader.
func (r *headerReader) Read(p []byte) (int, error) {
	if r.grant == nil {
		return r.source.Read(p)
	}
	if r.err = r.reserve(int64(len(p))); r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	r.read += int64(n)
	return n, err
}

// reserve takes the memory for more bytes of the header.
func (r *headerReader) reserve(bytes int64) error {
	if r.read >= maxHeaderBytes {
		return &HeaderTooLongError{}
	}
	return r.grant.Resize(headerFactor * (r.read + bytes))
}
