package dialer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
)

// List reads and updates the platform's service-discovery list over HTTP.
type List struct {
	address string
	http    *http.Client
}

// NewList returns the list that the platform serves at an address, host:port.
func NewList(address string, dial connector.Dial) *List {
	return &List{address: address, http: newClient(newTransport(dial))}
}

// Members returns the present contents of the list.
func (l *List) Members(ctx context.Context) (descriptor.Members, error) {
	var m descriptor.Members
	err := exchangeJSON(ctx, l.http, http.MethodGet, "http://"+l.address+"/members", nil, &m)
	return m, err
}

// Announce adds a host to the list or renews its entry. The entry states whether the
// host is leaving.
func (l *List) Announce(ctx context.Context, host descriptor.Host) error {
	raw, err := json.Marshal(host)
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	_, err = exchange(ctx, l.http, http.MethodPut, "http://"+l.address+"/hosts/"+url.PathEscape(host.ID), raw)
	return err
}
