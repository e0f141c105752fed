package dialer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
)

// serviceTimeout bounds one call to a plain service, including its response.
const serviceTimeout = 10 * time.Second

// Service makes calls to plain services over HTTP.
type Service struct{ http *http.Client }

// NewService returns a Service that opens its connections with dial. Each call uses a new
// connection: a reused connection may be closed by the service just when the call is sent,
// and then it would be unknown whether the call ran.
func NewService(dial connector.Dial) *Service {
	t := newTransport(dial)
	t.DisableKeepAlives = true
	return &Service{http: newClient(t)}
}

// Do runs one call and reads the response, whatever its status. An *UnsentError means
// that the call did not run. After any other error, the call may have run.
func (s *Service) Do(ctx context.Context, u descriptor.Upstream, r connector.ServiceRequest) (connector.ServiceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	url := "http://" + u.Address + "/" + strings.TrimPrefix(r.Path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return connector.ServiceReply{}, &connector.UnsentError{Upstream: u.ID, Cause: err}
	}
	req.GetBody = nil // without GetBody, the HTTP client does not repeat the request
	setHeaders(req.Header, r)
	res, err := s.http.Do(req)
	if err != nil {
		return connector.ServiceReply{}, markUnsent(u.ID, err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxResponse))
	if err != nil {
		return connector.ServiceReply{}, fmt.Errorf("read response: %w", err)
	}
	return connector.ServiceReply{Status: res.StatusCode, Type: res.Header.Get("Content-Type"), Body: raw}, nil
}

// setHeaders sets the headers of a call; empty values are omitted.
func setHeaders(h http.Header, r connector.ServiceRequest) {
	h.Set("X-Request-Id", r.Call)
	if r.Type != "" {
		h.Set("Content-Type", r.Type)
	}
	if r.Key != "" {
		h.Set("Idempotency-Key", r.Key)
	}
	if r.Fence > 0 {
		h.Set("Fencing-Token", strconv.FormatInt(r.Fence, 10))
	}
}
