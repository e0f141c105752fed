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

	mu      sync.Mutex
	retried func(key string, cause error)
	// seeds are the addresses that the client was made with.
	seeds []string
	// hosts are the caller addresses last named by the system, and until is
	// how long they may be used.
	hosts []string
	until time.Time
}

// New returns a Client that shows an organisation's key and knows at least one
// host's caller address. Dial is how it connects; nil is the machine's network.
func New(key string, hosts []string, dial func(context.Context, string, string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialBudget}).DialContext
	}
	return &Client{key: key, seeds: hosts, http: &http.Client{Transport: &http.Transport{
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

// OnRetry sets what is called with the idempotency key and the cause of each
// further try.
func (c *Client) OnRetry(f func(key string, cause error)) { c.retried = f }

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
		if c.retried != nil {
			c.retried(r.header.Get("Idempotency-Key"), last)
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
	waiter.Sleep(ctx, longest/2+rand.N(longest/2))
}

// known returns the hosts to use. It asks for them again when their time is up.
func (c *Client) known(ctx context.Context) []string {
	c.mu.Lock()
	hosts, until := c.hosts, c.until
	c.mu.Unlock()
	if time.Now().Before(until) {
		return hosts
	}
	ask := append(slices.Clone(hosts), c.seeds...)
	r, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/hosts", hosts: ask})
	if err != nil {
		return ask
	}
	list, err := decodeHosts(r.body)
	if err != nil || len(list.Hosts) == 0 {
		return ask
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = addresses(list.Hosts)
	c.until = time.Now().Add(time.Duration(list.TTL) * time.Second)
	return c.hosts
}

// hostList is the system's answer about the hosts to use.
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

// Hosts asks the system which hosts to use for a program, in order.
func (c *Client) Hosts(ctx context.Context, program string) ([]string, error) {
	r, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/hosts?program=" + program, hosts: c.known(ctx)})
	if err != nil {
		return nil, err
	}
	list, err := decodeHosts(r.body)
	if err != nil {
		return nil, err
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
