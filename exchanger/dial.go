package exchanger

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citronpier/citronpier/connector"
)

const (
	// dialTimeout is the time limit for opening a connection. It allows several
	// round trips. Waiting longer gains little: TCP repeats a lost SYN only after
	// one second.
	dialTimeout = 400 * time.Millisecond
	// The TCP keep-alive settings detect dead idle connections. The operating system
	// accepts the two times only in whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// UnackedUpstream and UnackedPeer are the TCP_USER_TIMEOUT of connections to
	// upstreams and to other hosts: how long sent bytes may stay unacknowledged
	// before the connection fails. The limit for upstreams is longer because a
	// failed connection may lose a request, whereas requests to hosts are retried.
	UnackedUpstream = 1500 * time.Millisecond
	UnackedPeer     = 500 * time.Millisecond
)

// NewDial returns a Dial for TCP connections that detect an unresponsive peer.
// They fail when sent bytes stay unacknowledged for the time unacked, or when
// keep-alive probes get no response.
func NewDial(unacked time.Duration) connector.Dial {
	d := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return d.DialContext
}
