package dialer

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/citronpier/citronpier/connector"
)

// Log reads and appends to the platform's log over HTTP.
type Log struct {
	address string
	http    *http.Client
}

// NewLog returns the log that the platform serves at an address, host:port.
func NewLog(address string, dial connector.Dial) *Log {
	return &Log{address: address, http: newClient(newTransport(dial))}
}

// appendReply is the JSON response to an append.
type appendReply struct {
	Offset int64 `json:"offset"`
}

// Append adds a record to a stream and returns its offset. When Append returns an error,
// the record may nevertheless be in the log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var a appendReply
	err := exchangeJSON(ctx, l.http, http.MethodPost, l.url(stream), data, &a)
	return a.Offset, err
}

// Read returns the records of a stream, beginning with the record at the offset
// from. If there are none yet, the log waits for new records, for at most the given
// time.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (connector.Page, error) {
	var p connector.Page
	u := fmt.Sprintf("%s?from=%d&wait=%d", l.url(stream), from, wait.Milliseconds())
	err := exchangeJSON(ctx, l.http, http.MethodGet, u, nil, &p)
	return p, err
}

// url returns the URL of a stream's records.
func (l *Log) url(stream string) string {
	return "http://" + l.address + "/streams/" + url.PathEscape(stream) + "/records"
}
