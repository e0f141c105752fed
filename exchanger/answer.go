package exchanger

import (
	"errors"
	"io"
	"net/http"
)

// Answer is an upstream's answer whose header has arrived.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body in bytes; -1 is unknown.
	Length int64

	body  io.ReadCloser
	conn  *conn
	pool  *pool
	stop  func() bool
	name  string
	whole bool
}

// Read reads the body. It returns io.EOF only after the whole body; any other
// error is a *BrokenError.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.whole = true
		return n, io.EOF
	default:
		return n, &BrokenError{Upstream: a.name, Cause: err}
	}
}

// Close gives the connection back after a whole answer, and drops it otherwise.
func (a *Answer) Close() {
	interrupted := !a.stop()
	if a.whole && !interrupted {
		a.pool.put(a.conn, a.Header)
		return
	}
	a.conn.close()
}

// discardLimit bounds a body that is read to keep the connection, in bytes.
const discardLimit = 64 << 10

// discard reads a body that no one wants.
func discard(r *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, discardLimit+1))
	if err != nil {
		return err
	}
	if n > discardLimit {
		return &ForeignError{}
	}
	return nil
}
