package dialer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"
	"github.com/tidwall/gjson"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
)

const (
	// progressTimeout is the maximum time without a new byte on an engine's stream;
	// keep-alives count as progress. After that the connection counts as dead and is
	// closed.
	progressTimeout = 1500 * time.Millisecond
	// doneMarker is the data of the event that ends a complete stream.
	doneMarker = "[DONE]"
)

// Engine makes requests to model engines over HTTP. Their responses are streams of
// server-sent events.
type Engine struct {
	http *http.Client
	// misdelivered is called for each chunk that belongs to another call.
	misdelivered func()
}

// NewEngine returns an Engine that opens its connections with dial. It drops chunks that
// carry the ID of another call and calls misdelivered for each of them.
func NewEngine(dial connector.Dial, misdelivered func()) *Engine {
	return &Engine{http: newClient(newTransport(dial)), misdelivered: misdelivered}
}

// Start sends a call and opens its response stream.
func (e *Engine) Start(ctx context.Context, u descriptor.Upstream, req connector.ModelRequest) (connector.Chunks, error) {
	h := http.Header{
		"Content-Type":         {"application/json"},
		"X-Request-Id":         {req.Call},
		"X-Request-Priority":   {strconv.Itoa(req.Priority)},
		"X-Request-Session-Id": {req.Program},
	}
	return e.open(ctx, u, http.MethodPost, "/v1/chat/completions", req.Body, h, req.Call, 0)
}

// Resume opens a new connection to a call that was started before. The stream begins at
// the position from.
func (e *Engine) Resume(ctx context.Context, u descriptor.Upstream, call string, from int64) (connector.Chunks, error) {
	path := "/v1/streams/" + url.PathEscape(call) + "?from=" + strconv.FormatInt(from, 10)
	return e.open(ctx, u, http.MethodGet, path, nil, nil, call, from)
}

// Cancel makes the engine stop a call.
func (e *Engine) Cancel(ctx context.Context, u descriptor.Upstream, call string) error {
	_, err := exchange(ctx, e.http, http.MethodDelete, "http://"+u.Address+"/v1/streams/"+url.PathEscape(call), nil)
	return err
}

// Evict makes the engine release the memory that it retains for a program.
func (e *Engine) Evict(ctx context.Context, u descriptor.Upstream, program string) error {
	_, err := exchange(ctx, e.http, http.MethodDelete, "http://"+u.Address+"/v1/sessions/"+url.PathEscape(program), nil)
	return err
}

// open sends a request and returns the stream of its response, whose first chunk has the
// position from. The progress timeout also covers the wait for the response header.
func (e *Engine) open(ctx context.Context, u descriptor.Upstream, method, path string, body []byte,
	header http.Header, call string, from int64,
) (connector.Chunks, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.Address+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("make request: %w", err)
	}
	if header != nil {
		req.Header = header
	}
	c := &chunks{upstream: u.ID, call: call, position: from, cancel: cancel, misdelivered: e.misdelivered}
	c.timer = time.AfterFunc(progressTimeout, c.timeOut)
	res, err := e.http.Do(req)
	if err != nil {
		c.stop()
		if c.timedOut.Load() {
			// The network fault that made this connection dead may have made the
			// idle connections dead too.
			e.http.CloseIdleConnections()
		}
		return nil, c.streamError(markUnsent(u.ID, err))
	}
	if res.StatusCode != http.StatusOK {
		defer c.stop()
		return nil, statusError(u.ID, call, res)
	}
	c.body = res.Body
	res.Body = &progressReader{ReadCloser: res.Body, timer: c.timer}
	c.decoder = ssestream.NewDecoder(res)
	return c, nil
}

// statusError returns the error for a response that is not a stream: an
// *UnknownCallError for the status 404, else a *StatusError with at most 1 KiB of the
// body.
func statusError(upstream, call string, res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotFound {
		return &connector.UnknownCallError{Upstream: upstream, Call: call}
	}
	raw, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
	return &connector.StatusError{Upstream: upstream, Status: res.StatusCode, Body: string(raw)}
}

// progressReader restarts the progress timer whenever bytes arrive.
type progressReader struct {
	io.ReadCloser
	timer *time.Timer
}

func (w *progressReader) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if n > 0 {
		w.timer.Reset(progressTimeout)
	}
	return n, err
}

// chunks is the open response stream of an engine.
type chunks struct {
	upstream string
	call     string
	// position is the position of the next chunk.
	position int64
	body     io.ReadCloser
	decoder  ssestream.Decoder
	// timer calls timeOut when no byte arrives within progressTimeout.
	timer        *time.Timer
	cancel       context.CancelFunc
	misdelivered func()
	// timedOut is set when the progress timeout has passed.
	timedOut atomic.Bool
}

// timeOut cancels the request. The stream then returns a *ProgressTimeoutError.
func (c *chunks) timeOut() {
	c.timedOut.Store(true)
	c.cancel()
}

// stop stops the timer and cancels the request.
func (c *chunks) stop() {
	c.timer.Stop()
	c.cancel()
}

// streamError returns a *ProgressTimeoutError if the progress timeout has passed, else
// err.
func (c *chunks) streamError(err error) error {
	if c.timedOut.Load() {
		return &connector.ProgressTimeoutError{Peer: "upstream " + c.upstream}
	}
	return err
}

// Next returns the next chunk that belongs to the call and drops the chunks of other
// calls.
func (c *chunks) Next() (connector.Chunk, error) {
	for c.decoder.Next() {
		data := bytes.TrimSpace(c.decoder.Event().Data)
		switch {
		case len(data) == 0:
		case string(data) == doneMarker:
			return connector.Chunk{Position: c.position, Done: true}, nil
		case gjson.GetBytes(data, "id").String() != c.call:
			c.misdelivered()
		default:
			chunk := connector.Chunk{Position: c.position, Data: bytes.Clone(data)}
			c.position++
			return chunk, nil
		}
	}
	err := c.decoder.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return connector.Chunk{}, c.streamError(fmt.Errorf("read stream: %w", err))
}

// Close closes the connection. The engine continues the call.
func (c *chunks) Close() error {
	c.stop()
	return c.body.Close()
}
