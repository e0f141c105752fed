package connector

import (
	"context"
	"net"
)

// Dial opens a connection to an address, like the DialContext method of net.Dialer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)
