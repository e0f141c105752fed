package messenger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/validator"
)

const (
	// keyHeader is the header with the secret key that all hosts share.
	keyHeader = "Citronpier-Peer"
	// callPath and dispatchPath are the request paths of the two types of stream.
	callPath     = "/stream/call"
	dispatchPath = "/stream/dispatch"

	// streamTimeout is the maximum time between two frames of a stream, including
	// alive frames. After that the stream counts as interrupted.
	streamTimeout = 1500 * time.Millisecond
	// A peer that does not answer an HTTP/2 ping within pingTimeout is unreachable, and
	// the connection is closed. A ping is sent when nothing has arrived for
	// pingInterval.
	pingInterval = 500 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	// maxFrame is the maximum size of one frame in bytes.
	maxFrame = 16 << 20
)

// Client opens streams to other hosts and calls their Twirp services.
type Client struct {
	key  string
	http *http.Client
}

// NewClient returns a Client that authenticates with the key that all hosts share and
// opens its connections with dial.
func NewClient(key string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: validator.Dial(dial),
		Protocols:   &protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	return &Client{key: key, http: &http.Client{Transport: &validator.Transport{Base: transport}}}
}

// Do adds the shared key to a request and sends it. It implements the HTTP client
// interface of Twirp.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(keyHeader, c.key)
	return c.http.Do(req)
}

// Commands returns a client for the commands of the host at a peer address, host:port.
func (c *Client) Commands(address string) Commands {
	return NewCommandsProtobufClient("http://"+address, c, twirp.WithClientPathPrefix("/twirp"))
}

// Queries returns a client for the queries of the host at a peer address, host:port.
func (c *Client) Queries(address string) Queries {
	return NewQueriesProtobufClient("http://"+address, c, twirp.WithClientPathPrefix("/twirp"))
}

// Call runs a call at the home of its program and opens the stream of its frames. After
// a *DialError, or a *StatusError that says so, the call has not started; after any other
// error it may have.
func (c *Client) Call(ctx context.Context, address string, req *CallRequest) (*Stream, error) {
	return c.open(ctx, address, callPath, req)
}

// Dispatch runs one attempt of a call at the home of an upstream and opens the stream of
// its frames. After a *DialError, or a *StatusError that says so, the attempt has not started;
// after any other error it may have.
func (c *Client) Dispatch(ctx context.Context, address string, req *DispatchRequest) (*Stream, error) {
	return c.open(ctx, address, dispatchPath, req)
}

// DialError reports that no connection to a host could be made. The host has not
// received the request.
type DialError struct{ Cause error }

// Error states the cause.
func (e *DialError) Error() string { return "connection to host failed: " + e.Cause.Error() }

// Unwrap returns the error of the connection attempt.
func (e *DialError) Unwrap() error { return e.Cause }

// StatusError reports that a host replied with an HTTP status and not with a stream.
type StatusError struct{ Status int }

// Error states the HTTP status.
func (e *StatusError) Error() string { return fmt.Sprintf("host replied with status %d", e.Status) }

// NotStarted reports whether the host has not started the request: it has rejected it before
// it ran. Any other status may have another cause, and says nothing about the request.
func (e *StatusError) NotStarted() bool {
	switch e.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusMethodNotAllowed:
		return true
	default:
		return false
	}
}

// open sends a request and returns the stream of its response. The stream's timeout also
// bounds the wait for the response header.
func (c *Client) open(ctx context.Context, address, path string, message proto.Message) (*Stream, error) {
	raw, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("make request: %w", err)
	}
	timer := time.AfterFunc(streamTimeout, cancel)
	res, err := c.Do(req)
	if err != nil {
		timer.Stop()
		cancel()
		return nil, sendError(err)
	}
	s := &Stream{body: res.Body, reader: bufio.NewReader(res.Body), timer: timer, cancel: cancel}
	if res.StatusCode != http.StatusOK {
		_ = s.Close()
		return nil, &StatusError{Status: res.StatusCode}
	}
	return s, nil
}

// sendError classifies a failed send: a failed connection attempt gives a *DialError, any
// other error an *InterruptedError, since the host may have received the request.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &DialError{Cause: err}
	}
	return &InterruptedError{Cause: err}
}

// Stream is an open stream of frames from another host. It is not safe for concurrent
// use.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// timer cancels the request when no frame arrives within streamTimeout.
	timer  *time.Timer
	cancel context.CancelFunc
}

// Next blocks until the next frame arrives. It returns an *InterruptedError if the
// stream ends, fails or times out.
func (s *Stream) Next() (*Frame, error) {
	var f Frame
	err := protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(s.reader, &f)
	if err != nil {
		return nil, &InterruptedError{Cause: err}
	}
	s.timer.Reset(streamTimeout)
	return &f, nil
}

// Close closes the stream. The other host sees its request's context end.
func (s *Stream) Close() error {
	s.timer.Stop()
	s.cancel()
	return s.body.Close()
}
