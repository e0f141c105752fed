package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"

	"github.com/citronpier/citronpier/descriptor"
)

// Probe opens a connection to an upstream, to find out whether it still runs. The connection
// is kept for the next request. The error is a *ConnectionLimitError, or wraps
// unix.ECONNREFUSED if no process listens at the upstream's address any more.
func (e *Exchanger) Probe(ctx context.Context, u descriptor.Upstream) error {
	k := keyOf(u)
	e.pool.mu.Lock()
	err := e.pool.reserve(k)
	e.pool.mu.Unlock()
	if err != nil {
		return err
	}
	c, err := e.pool.openConn(ctx, k)
	if err != nil {
		return fmt.Errorf("probe upstream %s: %w", u.ID, err)
	}
	e.pool.keep(c, nil)
	return nil
}

// ConnectionFailed reports whether an error means that the connection to an upstream was
// closed or reset, or that nothing arrived from the other end for too long.
func ConnectionFailed(err error) bool {
	return isConnectionClosed(err) || errors.Is(err, unix.ETIMEDOUT)
}

// isConnectionClosed reports whether err means that the upstream closed or reset
// the connection.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}
