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

// serviceBudget is how long a plain service may take for one call.
const serviceBudget = 10 * time.Second

// Service speaks to plain services over HTTP.
type Service struct{ http *http.Client }

// NewService returns a Service. Each call has its own connection: a reused one
// may be closed under it, which would leave open whether the call was sent.
func NewService(dial connector.Dial) *Service {
	t := newTransport(dial)
	t.DisableKeepAlives = true
	return &Service{http: &http.Client{Transport: t}}
}

// Do runs one call.
func (s *Service) Do(ctx context.Context, u descriptor.Upstream, r connector.ServiceRequest) (connector.ServiceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, serviceBudget)
	defer cancel()
	url := "http://" + u.Address + "/" + strings.TrimPrefix(r.Path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return connector.ServiceReply{}, &connector.UnsentError{Upstream: u.ID, Cause: err}
	}
	req.GetBody = nil // no second attempt by the HTTP client
	setHeaders(req.Header, r)
	res, err := s.http.Do(req)
	if err != nil {
		return connector.ServiceReply{}, unsent(u.ID, err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return connector.ServiceReply{}, fmt.Errorf("read answer: %w", err)
	}
	return connector.ServiceReply{Status: res.StatusCode, Type: res.Header.Get("Content-Type"), Body: raw}, nil
}

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
