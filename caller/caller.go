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
	"sync"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

const (
	// tries is the most times that one request is sent.
	tries = 16
	// tryBudget is how long one host may take. The next request with the same
	// key attaches to the call where it still runs.
	tryBudget = 10 * time.Second
	// firstPause and longestPause bound the time between two of them.
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
	dialBudget   = time.Second
	maxAnswer    = 16 << 20
)

// A Client sends the programs of one organisation.
type Client struct {
	key  string
	http *http.Client

	mu sync.Mutex
	// hosts are the caller addresses last named by the system.
	hosts []string
}

// New returns a Client that shows an organisation's key and knows at least one
// host's caller address. Dial is how it connects; nil is the machine's network.
func New(key string, hosts []string, dial func(context.Context, string, string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialBudget}).DialContext
	}
	return &Client{key: key, hosts: hosts, http: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute,
	}}}
}

// Failure is an answer that refuses a request.
type Failure struct {
	Status  int            `json:"-"`
	Type    string         `json:"type"`
	Message string         `json:"message"`
	Run     descriptor.Run `json:"run"`
	Retry   float64        `json:"retry"`
}

// Error describes the failure.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (run: %s): %s", f.Type, f.Run, f.Message)
}

// LostError says that no host gave an answer.
type LostError struct{ Cause error }

// Error describes the failure.
func (e *LostError) Error() string { return "no host answered: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// reply is a host's whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// request is what is sent, as often as needed.
type request struct {
	method string
	path   string
	header http.Header
	body   []byte
	hosts  []string
}

// send sends a request to one host after the other until one answers.
func (c *Client) send(ctx context.Context, r request) (reply, error) {
	var last error
	for try := range tries {
		host := r.hosts[try%len(r.hosts)]
		answer, err := c.exchange(ctx, host, r)
		if err == nil && answer.status < http.StatusBadRequest {
			return answer, nil
		}
		last = err
		if err == nil {
			failure := failureOf(answer)
			last = failure
			if !failure.transient() {
				return reply{}, failure
			}
		}
		if ctx.Err() != nil {
			break
		}
		pause(ctx, try)
	}
	return reply{}, &LostError{Cause: last}
}

// transient reports whether another try may help.
func (f *Failure) transient() bool {
	switch f.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway:
		return f.Type != "lost" && f.Type != "poison" && f.Type != "cancelled"
	default:
		return false
	}
}

func (c *Client) exchange(ctx context.Context, host string, r request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+host+r.path, bytes.NewReader(r.body))
	if err != nil {
		return reply{}, fmt.Errorf("make request: %w", err)
	}
	if r.header != nil {
		req.Header = r.header.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	res, err := c.http.Do(req)
	if err != nil {
		return reply{}, fmt.Errorf("send to %s: %w", host, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return reply{}, fmt.Errorf("read answer of %s: %w", host, err)
	}
	return reply{status: res.StatusCode, header: res.Header, body: body}, nil
}

func failureOf(r reply) *Failure {
	var f struct {
		Error Failure `json:"error"`
	}
	_ = json.Unmarshal(r.body, &f)
	f.Error.Status = r.status
	return &f.Error
}

// pause waits before the next try, with jitter.
func pause(ctx context.Context, try int) {
	longest := min(firstPause<<try, longestPause)
	t := time.NewTimer(longest/2 + rand.N(longest/2))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (c *Client) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// Hosts asks the system which hosts to use for a program, in order.
func (c *Client) Hosts(ctx context.Context, program string) ([]string, error) {
	r, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/hosts?program=" + program, hosts: c.known()})
	if err != nil {
		return nil, err
	}
	var list struct {
		Hosts []descriptor.Host `json:"hosts"`
	}
	if err := json.Unmarshal(r.body, &list); err != nil {
		return nil, fmt.Errorf("decode hosts: %w", err)
	}
	return addresses(list.Hosts), nil
}

func addresses(hosts []descriptor.Host) []string {
	list := make([]string, len(hosts))
	for i, h := range hosts {
		list[i] = h.Caller
	}
	return list
}
