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
	"github.com/citronpier/citronpier/validator"
)

const (
	// dialTimeout bounds one connection attempt.
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerAddress is the maximum number of idle connections for one address.
	maxIdlePerAddress = 64
	// maxResponse is the number of bytes after which a response that is not streamed is
	// truncated.
	maxResponse = 16 << 20
)

// NewDial returns a Dial that uses the network of this machine and gives up after 500 ms.
func NewDial() connector.Dial { return (&net.Dialer{Timeout: dialTimeout}).DialContext }

// newTransport returns an HTTP transport that opens its connections with dial.
func newTransport(dial connector.Dial) *http.Transport {
	return &http.Transport{
		DialContext:         validator.Dial(dial),
		MaxIdleConnsPerHost: maxIdlePerAddress,
		IdleConnTimeout:     time.Minute,
	}
}

// newClient returns an HTTP client that returns no broken responses.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: &validator.Transport{Base: t}}
}

// StatusError reports a response of the platform or of an engine with a status of 300 or
// above.
type StatusError struct {
	Status int
	Body   string
}

// Error states the status and the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// exchange sends a request and reads the response body. It returns a *StatusError for a
// status of 300 or above.
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
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxResponse))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{Status: res.StatusCode, Body: string(raw)}
	}
	return raw, nil
}

// exchangeJSON sends a request like exchange and decodes the JSON of the response into
// the value that the parameter into points to.
func exchangeJSON(ctx context.Context, client *http.Client, method, url string, body []byte, into any) error {
	raw, err := exchange(ctx, client, method, url, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// markUnsent wraps the error of a failed connection attempt in an *UnsentError, since the
// request was not sent. It returns other errors unchanged.
func markUnsent(upstream string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &connector.UnsentError{Upstream: upstream, Cause: err}
	}
	return err
}
