package validator

import (
	"fmt"
	"net/http"
)

// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// StatusError reports a status code that HTTP does not have, or that no request asked for.
type StatusError struct{ Status int }

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%03d is not the status of a response", e.Status)
}

// Status checks the status code of a response, interim responses included. No request asks for
// another protocol, so 101 is an error too: what follows it would not be HTTP. The error is a
// *StatusError.
func Status(code int) error {
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return &StatusError{Status: code}
	}
	return nil
}

// IsInterim reports whether another response follows on the connection to the same request.
func IsInterim(code int) bool { return code >= minStatus && code < http.StatusOK }
