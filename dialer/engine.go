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
	// progress is how long an engine's stream may bring nothing, keep-alives
	// included, before its connection counts as silent.
	progress = 1500 * time.Millisecond
	// doneMarker ends a whole stream.
	doneMarker = "[DONE]"
)

// Engine speaks to model engines over HTTP and server-sent events.
type Engine struct {
	http *http.Client
	// crossed counts parts that belong to another call.
	crossed func()
}

// NewEngine returns an Engine. It calls crossed for each part that it drops
// because the part belongs to another call.
func NewEngine(dial connector.Dial, crossed func()) *Engine {
	return &Engine{http: &http.Client{Transport: newTransport(dial)}, crossed: crossed}
}

// Start sends a call.
func (e *Engine) Start(ctx context.Context, u descriptor.Upstream, req connector.ModelRequest) (connector.Parts, error) {
	h := http.Header{
		"Content-Type":         {"application/json"},
		"X-Request-Id":         {req.Call},
		"X-Request-Priority":   {strconv.Itoa(req.Priority)},
		"X-Request-Session-Id": {req.Program},
	}
	return e.open(ctx, u, http.MethodPost, "/v1/chat/completions", req.Body, h, req.Call, 0)
}

// Resume opens a new connection to a call that was started.
func (e *Engine) Resume(ctx context.Context, u descriptor.Upstream, call string, from int64) (connector.Parts, error) {
	path := "/v1/streams/" + url.PathEscape(call) + "?from=" + strconv.FormatInt(from, 10)
	return e.open(ctx, u, http.MethodGet, path, nil, nil, call, from)
}

// Cancel stops a call.
func (e *Engine) Cancel(ctx context.Context, u descriptor.Upstream, call string) error {
	_, err := exchange(ctx, e.http, http.MethodDelete, "http://"+u.Address+"/v1/streams/"+url.PathEscape(call), nil)
	return err
}

// Evict releases the memory held for a program.
func (e *Engine) Evict(ctx context.Context, u descriptor.Upstream, program string) error {
	_, err := exchange(ctx, e.http, http.MethodDelete, "http://"+u.Address+"/v1/sessions/"+url.PathEscape(program), nil)
	return err
}

func (e *Engine) open(ctx context.Context, u descriptor.Upstream, method, path string, body []byte,
	header http.Header, call string, from int64,
) (connector.Parts, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.Address+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("make request: %w", err)
	}
	if header != nil {
		req.Header = header
	}
	p := &parts{upstream: u.ID, call: call, position: from, cancel: cancel, crossed: e.crossed}
	p.watch = time.AfterFunc(progress, p.silence)
	res, err := e.http.Do(req)
	if err != nil {
		p.stop()
		if p.silent.Load() {
			// What lost track of one connection may have lost the idle ones.
			e.http.CloseIdleConnections()
		}
		return nil, p.failure(unsent(u.ID, err))
	}
	if res.StatusCode != http.StatusOK {
		defer p.stop()
		return nil, statusError(u.ID, call, res)
	}
	p.body = res.Body
	res.Body = &watched{ReadCloser: res.Body, watch: p.watch}
	p.decoder = ssestream.NewDecoder(res)
	return p, nil
}

func statusError(upstream, call string, res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotFound {
		return &connector.GoneError{Upstream: upstream, Call: call}
	}
	raw, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
	return &connector.StatusError{Upstream: upstream, Status: res.StatusCode, Body: string(raw)}
}

// watched restarts the progress deadline whenever bytes arrive.
type watched struct {
	io.ReadCloser
	watch *time.Timer
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if n > 0 {
		w.watch.Reset(progress)
	}
	return n, err
}

// parts is an open stream of an engine.
type parts struct {
	upstream string
	call     string
	position int64
	body     io.ReadCloser
	decoder  ssestream.Decoder
	watch    *time.Timer
	cancel   context.CancelFunc
	crossed  func()
	silent   atomic.Bool
}

func (p *parts) silence() {
	p.silent.Store(true)
	p.cancel()
}

func (p *parts) stop() {
	p.watch.Stop()
	p.cancel()
}

func (p *parts) failure(err error) error {
	if p.silent.Load() {
		return &connector.SilentError{Peer: "upstream " + p.upstream}
	}
	return err
}

// Next returns the next part that belongs to the call.
func (p *parts) Next() (connector.Part, error) {
	for p.decoder.Next() {
		data := bytes.TrimSpace(p.decoder.Event().Data)
		switch {
		case len(data) == 0:
		case string(data) == doneMarker:
			return connector.Part{Position: p.position, Done: true}, nil
		case gjson.GetBytes(data, "id").String() != p.call:
			p.crossed()
		default:
			part := connector.Part{Position: p.position, Data: bytes.Clone(data)}
			p.position++
			return part, nil
		}
	}
	err := p.decoder.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return connector.Part{}, p.failure(fmt.Errorf("read stream: %w", err))
}

// Close drops the connection.
func (p *parts) Close() error {
	p.stop()
	return p.body.Close()
}
