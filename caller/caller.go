package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/validator"
)

const (
	// maxAttempts bounds how many times one request is sent.
	maxAttempts = 16
	// attemptTimeout bounds the wait for the response of one host. A call that
	// takes longer continues at the host: the next request with the same idempotency
	// key waits for the call that is already running.
	attemptTimeout = 10 * time.Second
	// minBackoff is the wait after the first attempt. The wait doubles with each
	// attempt, up to maxBackoff.
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
	dialTimeout = time.Second
	// maxResponseBytes is the size at which a response body is truncated.
	maxResponseBytes = 16 << 20
)

// A Client sends the requests of one organisation. It is safe for concurrent
// use, except for OnRetry.
type Client struct {
	key  string
	http *http.Client

	mu      sync.Mutex
	onRetry func(key string, cause error)
	// seeds are the host addresses passed to New.
	seeds []string
	// hosts are the host addresses that GET /v1/hosts last returned. They may be
	// used until hostsExpiry.
	hosts       []string
	hostsExpiry time.Time
}

// New returns a Client that authenticates with an organisation's key. The hosts
// are addresses for callers, as host:port. At least one address is needed. The
// Client connects with dial. If dial is nil, it uses a net.Dialer with a timeout
// of 1 s.
func New(key string, hosts []string, dial func(context.Context, string, string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{key: key, seeds: hosts, http: &http.Client{Transport: &validator.Transport{Base: &http.Transport{
		DialContext: validator.Dial(dial), MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute,
	}}}}
}

// Failure is a host's refusal of a request.
type Failure struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Type is the reason, such as "poison"; the values are those of refuser.Reason.
	Type    string `json:"type"`
	Message string `json:"message"`
	// Run reports whether the call has run at an upstream.
	Run descriptor.Run `json:"run"`
	// Retry is the time in seconds after which the request may be sent again; 0
	// means that the host gave none.
	Retry float64 `json:"retry"`
}

// Error returns the reason, whether the call has run, and the host's message.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (run: %s): %s", f.Type, f.Run, f.Message)
}

// AttemptsError reports that a request failed in all maxAttempts attempts, or
// that its context ended before an attempt succeeded. Cause is the error or
// Failure of the last attempt.
type AttemptsError struct{ Cause error }

// Error states the cause of the last failure.
func (e *AttemptsError) Error() string { return "all attempts failed: " + e.Cause.Error() }

// Unwrap returns the error or Failure of the last attempt.
func (e *AttemptsError) Unwrap() error { return e.Cause }

// response is the response of a host. Its body has been read.
type response struct {
	status int
	header http.Header
	body   []byte
}

// request is a request that send may send several times, to one host after
// another.
type request struct {
	method string
	path   string
	header http.Header
	body   []byte
	hosts  []string
}

// OnRetry sets a function that the Client calls after each attempt whose
// failure may be temporary, with the idempotency key of the request and the
// cause. OnRetry must be called before the first request.
func (c *Client) OnRetry(f func(key string, cause error)) { c.onRetry = f }

// send sends a request to one host after another until a host answers with
// success or with a permanent refusal. It returns a Failure for a permanent
// refusal, and an AttemptsError when no attempt is left.
func (c *Client) send(ctx context.Context, r request) (response, error) {
	var last error
	for attempt := range maxAttempts {
		host := r.hosts[attempt%len(r.hosts)]
		res, err := c.sendTo(ctx, host, r)
		if err == nil && res.status < http.StatusBadRequest {
			return res, nil
		}
		last = err
		if err == nil {
			failure := newFailure(res)
			last = failure
			if !failure.transient() {
				return response{}, failure
			}
		}
		if ctx.Err() != nil {
			break
		}
		if c.onRetry != nil {
			c.onRetry(r.header.Get("Idempotency-Key"), last)
		}
		backOff(ctx, attempt)
	}
	return response{}, &AttemptsError{Cause: last}
}

// transient reports whether the same request may succeed in a later attempt.
func (f *Failure) transient() bool {
	switch f.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway:
		return f.Type != "lost" && f.Type != "poison" && f.Type != "cancelled"
	default:
		return false
	}
}

// sendTo sends a request to one host and reads the response.
func (c *Client) sendTo(ctx context.Context, host string, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+host+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, fmt.Errorf("create request: %w", err)
	}
	if r.header != nil {
		req.Header = r.header.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	res, err := c.http.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("send to %s: %w", host, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("read response of %s: %w", host, err)
	}
	return response{status: res.StatusCode, header: res.Header, body: body}, nil
}

// newFailure decodes a refusal. Fields that come from the body are empty if the
// body was not written by citronpier, for example if a proxy wrote it.
func newFailure(r response) *Failure {
	var f struct {
		Error Failure `json:"error"`
	}
	_ = json.Unmarshal(r.body, &f)
	f.Error.Status = r.status
	return &f.Error
}

// backOff waits before the next attempt. The wait is a random time between half
// of the backoff and the whole backoff.
func backOff(ctx context.Context, attempt int) {
	longest := min(minBackoff<<attempt, maxBackoff)
	waiter.Sleep(ctx, longest/2+rand.N(longest/2))
}

// currentHosts returns the addresses of the hosts to send requests to. After
// hostsExpiry it requests the addresses again. If no host answers, it returns the
// old addresses and the seeds.
func (c *Client) currentHosts(ctx context.Context, now time.Time) []string {
	c.mu.Lock()
	hosts, until := c.hosts, c.hostsExpiry
	c.mu.Unlock()
	if now.Before(until) {
		return hosts
	}
	candidates := append(slices.Clone(hosts), c.seeds...)
	r, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/hosts", hosts: candidates})
	if err != nil {
		return candidates
	}
	list, err := decodeHosts(r.body)
	if err != nil || len(list.Hosts) == 0 {
		return candidates
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = addresses(list.Hosts)
	c.hostsExpiry = now.Add(time.Duration(list.TTL) * time.Second)
	return c.hosts
}

// hostList is the response to GET /v1/hosts. TTL is in seconds.
type hostList struct {
	Hosts []descriptor.Host `json:"hosts"`
	TTL   int               `json:"ttl"`
}

func decodeHosts(body []byte) (hostList, error) {
	var list hostList
	if err := json.Unmarshal(body, &list); err != nil {
		return hostList{}, fmt.Errorf("decode hosts: %w", err)
	}
	return list, nil
}

// Hosts returns the caller addresses of the hosts to use for a program, in the
// order in which to try them.
func (c *Client) Hosts(ctx context.Context, program string) ([]string, error) {
	r, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/hosts?program=" + program, hosts: c.currentHosts(ctx, time.Now())})
	if err != nil {
		return nil, err
	}
	list, err := decodeHosts(r.body)
	if err != nil {
		return nil, err
	}
	return addresses(list.Hosts), nil
}

// addresses returns the caller addresses of hosts, in the same order.
func addresses(hosts []descriptor.Host) []string {
	list := make([]string, len(hosts))
	for i, h := range hosts {
		list[i] = h.Caller
	}
	return list
}
