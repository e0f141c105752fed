package validator

import "net/http"

// Transport is an http.RoundTripper that returns no broken responses. The connections of Base
// are not used again after one.
type Transport struct{ Base *http.Transport }

// RoundTrip implements http.RoundTripper. The error of a broken response is a *StatusError; the
// request may have been carried out.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Status(res.StatusCode); err != nil {
		_ = res.Body.Close()
		t.Base.CloseIdleConnections()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the base, as http.Client expects it.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
