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
)

const (
	// keyHeader carries the key that hosts share.
	keyHeader = "Citronpier-Peer"
	// callPath and dispatchPath are the paths of the streams.
	callPath     = "/stream/call"
	dispatchPath = "/stream/dispatch"

	// silence is how long a stream may bring nothing, alive frames included,
	// before it counts as broken.
	silence = 1500 * time.Millisecond
	// pingAfter and pingBudget find connections that went silent.
	pingAfter  = 500 * time.Millisecond
	pingBudget = 500 * time.Millisecond
	// maxFrame bounds one frame, in bytes.
	maxFrame = 16 << 20
)

// Client opens streams to and calls the services of other hosts.
type Client struct {
	key  string
	http *http.Client
}

// NewClient returns a Client that shows the shared key and connects by dial.
func NewClient(key string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: dial,
		Protocols:   &protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingBudget},
	}
	return &Client{key: key, http: &http.Client{Transport: transport}}
}

// Do sends a request with the shared key. It makes Client a twirp client.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(keyHeader, c.key)
	return c.http.Do(req)
}

// Commands returns the commands of the host at a peer address.
func (c *Client) Commands(address string) Commands {
	return NewCommandsProtobufClient("http://"+address, c, twirp.WithClientPathPrefix("/twirp"))
}

// Queries returns the queries of the host at a peer address.
func (c *Client) Queries(address string) Queries {
	return NewQueriesProtobufClient("http://"+address, c, twirp.WithClientPathPrefix("/twirp"))
}

// Call opens the stream of a call at a program's home.
func (c *Client) Call(ctx context.Context, address string, req *CallRequest) (*Stream, error) {
	return c.open(ctx, address, callPath, req)
}

// Dispatch opens the stream of an attempt at an upstream's home.
func (c *Client) Dispatch(ctx context.Context, address string, req *DispatchRequest) (*Stream, error) {
	return c.open(ctx, address, dispatchPath, req)
}

// DialError says that no connection to a host could be made.
type DialError struct{ Cause error }

// Error describes the failure.
func (e *DialError) Error() string { return "dial: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// StatusError is a host's answer that is not a stream.
type StatusError struct{ Status int }

// Error describes the failure.
func (e *StatusError) Error() string { return fmt.Sprintf("host answered with status %d", e.Status) }

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
	watch := time.AfterFunc(silence, cancel)
	res, err := c.Do(req)
	if err != nil {
		watch.Stop()
		cancel()
		return nil, dialError(err)
	}
	s := &Stream{body: res.Body, reader: bufio.NewReader(res.Body), watch: watch, cancel: cancel}
	if res.StatusCode != http.StatusOK {
		_ = s.Close()
		return nil, &StatusError{Status: res.StatusCode}
	}
	return s, nil
}

func dialError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &DialError{Cause: err}
	}
	return &BrokenError{Cause: err}
}

// Stream is an open stream of frames from another host.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// watch ends the stream when it stays silent.
	watch  *time.Timer
	cancel context.CancelFunc
}

// Next returns the next frame.
func (s *Stream) Next() (*Frame, error) {
	var f Frame
	err := protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(s.reader, &f)
	if err != nil {
		return nil, &BrokenError{Cause: err}
	}
	s.watch.Reset(silence)
	return &f, nil
}

// Close ends the stream.
func (s *Stream) Close() error {
	s.watch.Stop()
	s.cancel()
	return s.body.Close()
}
