package exchanger

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citronpier/citronpier/connector"
)

const (
	// dialTimeout bounds the opening of a connection: some round trips, and a
	// lost opening packet is sent again only after a second.
	dialTimeout = 400 * time.Millisecond
	// probeAfter and probeEvery find connections that went silent. The system
	// counts whole seconds.
	probeAfter = time.Second
	probeEvery = time.Second
	probes     = 2
	// UnackedUpstream and UnackedPeer are how long bytes to an upstream and to
	// another host may be unacknowledged. A request to an upstream may be lost
	// with its connection; one to another host is repeated.
	UnackedUpstream = 1500 * time.Millisecond
	UnackedPeer     = 500 * time.Millisecond
)

// NewDial returns a Dial whose connections find out that they went silent: they
// end when their bytes are not acknowledged for a time.
func NewDial(unacked time.Duration) connector.Dial {
	d := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
	return d.DialContext
}
