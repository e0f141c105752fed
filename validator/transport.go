package validator

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that returns no broken responses. Use NewTransport.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests with base, whose connections it checks.
// base must not be used otherwise. Heads are those of HTTP/1; the protocols that base names
// beside it have checks of their own.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = newDial(base.DialContext)
	return &Transport{base: base}
}

// newDial returns a function that opens checked connections with dial; nil is a net.Dialer.
func newDial(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// withHeadTrace returns a context of a request that has its connection expect a response, once
// the connection is chosen and before the request is written.
func withHeadTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.heads.begin()
		}
	}})
}

// RoundTrip implements http.RoundTripper. The error of a broken response wraps a *StatusError or
// a *HeadError; the request may have been carried out.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.base.Protocols == nil {
		r = r.WithContext(withHeadTrace(r.Context()))
	}
	res, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Status(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the base, as http.Client expects it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
