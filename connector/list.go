package connector

import (
	"context"

	"github.com/citronpier/citronpier/descriptor"
)

// List is the platform's service-discovery list of hosts and upstreams. Changes reach
// it with a delay.
type List interface {
	// Members returns the present contents of the list.
	Members(ctx context.Context) (descriptor.Members, error)
	// Announce adds a host to the list or renews its entry. The entry states whether
	// the host is leaving.
	Announce(ctx context.Context, host descriptor.Host) error
}
