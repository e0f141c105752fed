package exchanger

import (
	"errors"
	"io"
	"net/http"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/validator"
)

// Response is an upstream's response whose header has arrived. The body is read with
// Read. A Response must be closed.
type Response struct {
	Status int
	Header http.Header
	// Notice is what the upstream says of itself.
	Notice Notice
	// Length is the length of the body in bytes; -1 means unknown.
	Length int64
	// Unframed is true if the body has neither a length nor chunks, and ends with the
	// connection.
	Unframed bool

	body io.ReadCloser
	// writing is the write of the request.
	writing *requestWrite
	// trailer has the fields after the body once the body was read to its end.
	trailer *http.Header
	conn    *conn
	pool    *pool
	// grant is the memory of the header.
	grant *allocator.Grant
	// stopInterrupt detaches conn from the context of Send. It returns false if
	// that context has already ended and interrupted conn.
	stopInterrupt func() bool
	upstreamID    string
	// bodyComplete is true once the body was read to its end.
	bodyComplete bool
}

// Read reads from the body. It returns io.EOF only after the complete body; any
// other error is an *IncompleteError.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if err := r.checkEnd(); err != nil {
			return n, &IncompleteError{Upstream: r.upstreamID, Cause: err}
		}
		r.bodyComplete = true
		return n, io.EOF
	default:
		return n, &IncompleteError{Upstream: r.upstreamID, Cause: err}
	}
}

// checkEnd checks the end of the body, which was reached. A body that ends with its connection
// is complete only if the request was written whole: a write that fails takes the error of a
// connection that was reset, which then seems to have ended in order. The error is a
// *validator.EndError or a *validator.HeadError.
func (r *Response) checkEnd() error {
	if r.Unframed {
		if err := r.writing.wait().err; err != nil {
			return &validator.EndError{Cause: err}
		}
	}
	return validator.Fields(*r.trailer)
}

// Close returns the connection to the pool if the body was read to io.EOF and
// the context of Send has not ended. Otherwise it closes the connection.
func (r *Response) Close() {
	r.grant.Release()
	interrupted := !r.stopInterrupt()
	if r.bodyComplete && !interrupted {
		r.pool.release(r.conn, r.Header)
		return
	}
	r.conn.close()
}

// maxDiscardedBody is the longest unwanted body, in bytes, that is read to keep
// its connection usable.
const maxDiscardedBody = 64 << 10

// discardBody reads an unwanted body to its end, so that the next response on the
// connection can be read. A body longer than maxDiscardedBody is an error.
func discardBody(r *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBody+1))
	if err != nil {
		return err
	}
	if n > maxDiscardedBody {
		return &MisdeliveredError{}
	}
	return nil
}

// isUnframed reports whether the body of a response ends with the connection.
func isUnframed(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
