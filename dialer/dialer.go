package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/citronpier/citronpier/connector"
)

const (
	dialBudget = 500 * time.Millisecond
	// idleConnections is kept for each address.
	idleConnections = 64
	// maxReply bounds an answer that is read whole, in bytes.
	maxReply = 16 << 20
)

// NewDial returns the Dial of the machine's own network.
func NewDial() connector.Dial { return (&net.Dialer{Timeout: dialBudget}).DialContext }

// newTransport returns the transport of one kind of peer.
func newTransport(dial connector.Dial) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
}

// StatusError is an answer that is not a success.
type StatusError struct {
	Status int
	Body   string
}

// Error describes the failure.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// exchange sends a request and reads the whole answer.
func exchange(ctx context.Context, client *http.Client, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{Status: res.StatusCode, Body: string(raw)}
	}
	return raw, nil
}

// exchangeJSON sends a request and decodes the answer.
func exchangeJSON(ctx context.Context, client *http.Client, method, url string, body []byte, into any) error {
	raw, err := exchange(ctx, client, method, url, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// unsent marks an error as one from before the request was sent.
func unsent(upstream string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &connector.UnsentError{Upstream: upstream, Cause: err}
	}
	return err
}
