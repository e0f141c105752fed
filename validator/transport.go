package validator

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Transport is an http.RoundTripper that returns no broken responses, as far as a parsed head
// shows them. The connections of Base are not used again after one. Base must be set; Dial opens
// its connections.
type Transport struct{ Base *http.Transport }

// RoundTrip implements http.RoundTripper. The error of a broken response is a *StatusError or a
// *HeadError; the request may have been carried out.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := parsed(res); err != nil {
		_ = res.Body.Close()
		t.Base.CloseIdleConnections()
		return nil, err
	}
	return res, nil
}

// parsed checks what is left of a head after net/http has parsed it.
func parsed(res *http.Response) error {
	if err := Status(res.StatusCode); err != nil {
		return err
	}
	if !httpguts.ValidHeaderFieldValue(res.Status) {
		return newHeadError("no reason phrase", []byte(res.Status))
	}
	return Fields(res.Header)
}

// CloseIdleConnections closes the idle connections of the base, as http.Client expects it.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
