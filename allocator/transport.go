package allocator

import (
	"io"
	"net/http"
)

// Transport is an http.RoundTripper whose callers read each response as a whole: the bytes of
// the bodies that are open count in the Pool. A body that exceeds its share ends with an
// *ExhaustedError.
type Transport struct {
	Base http.RoundTripper
	Pool *Pool
}

// bufferFactor is the memory that a body takes while it is read as a whole, in multiples of
// the bytes read: io.ReadAll grows its buffer, and what is decoded from it is held beside it.
const bufferFactor = 2

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	res.Body = &body{ReadCloser: res.Body, grant: t.Pool.Grant()}
	return res, nil
}

// body is the body of a response. It is not safe for concurrent use.
type body struct {
	io.ReadCloser
	grant *Grant
	// read is the number of bytes read so far.
	read int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if grantErr := b.grant.Resize(b.read * bufferFactor); grantErr != nil {
		return 0, grantErr
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.grant.Release()
	return b.ReadCloser.Close()
}

// CloseIdleConnections closes the idle connections of the base, as http.Client expects it.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
