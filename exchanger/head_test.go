package exchanger_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
)

// anyID is a codec of upstreams that echo no id: each response is taken.
type anyID struct{ codec }

func (anyID) RequestID(http.Header) string { return "" }

// recordedConn is a connection to an upstream that has sent a response and closed.
type recordedConn struct {
	net.Conn
	response io.Reader
}

func (c recordedConn) Read(p []byte) (int, error)  { return c.response.Read(p) }
func (c recordedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c recordedConn) Close() error                { return nil }
func (c recordedConn) SetDeadline(time.Time) error { return nil }

// sendRecorded sends a request to an upstream that answers with raw.
func sendRecorded(ctx context.Context, raw []byte) (*exchanger.Response, error) {
	dial := func(context.Context, string, string) (net.Conn, error) {
		return recordedConn{response: bytes.NewReader(raw)}, nil
	}
	u := descriptor.Upstream{ID: "u", Address: "192.0.2.1:80"}
	return exchanger.New(anyID{}, dial).Send(ctx, u, newAttempt("1", http.MethodGet), time.Now())
}

// The grammar of heads (RFC 9112, sections 4 and 5; RFC 9110, sections 5 and 15), without
// folded lines and without the status 101. The classes of bytes are those of UTF-8, in which
// any other byte is read as one above 0x7f.
const (
	textRule    = `[\t\x20-\x7e\x{80}-\x{10ffff}]*`
	fieldsRule  = "(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + textRule + `\r\n)*\r\n`
	interimRule = `HTTP/1\.[0-9] 1(?:0[02-9]|[1-9][0-9])(?: ` + textRule + `)?\r\n` + fieldsRule
	finalRule   = `HTTP/1\.[0-9] [2-5][0-9][0-9](?: ` + textRule + `)?\r\n(` + fieldsRule + `)`
)

var (
	responseRule = regexp.MustCompile(`^(?:` + interimRule + `)*` + finalRule)
	nameRule     = regexp.MustCompile(`(?m)^([^:\r\n]+):`)
)

// FuzzHead checks that each head that is taken keeps to the grammar, and that its fields are
// passed on, but for those that frame the body.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nName: x\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 404 \r\nName:x\t\r\nname: \xff\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1 101 Switching\r\n\r\n",
		"HTTP/1.1 200 OK\r\nBad Name: x\r\n\r\n", "HTTP/1.1 200 OK\r\nName : x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nName: x\r\n folded\r\n\r\n", "HTTP/1.1 200 OK\r\n\nName: x\r\n\r\n",
		"HTTP/1.1 200 O\x00K\r\nName: x\x00\r\n\r\n", "HTTP/1.1 200 OK\nName: x\n\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		response, err := sendRecorded(t.Context(), raw)
		if err != nil {
			return
		}
		defer response.Close()
		match := responseRule.FindSubmatch(raw)
		if match == nil {
			t.Fatalf("taken as a response with status %d and header %v: %q", response.Status, response.Header, raw)
		}
		want := http.Header{}
		for _, name := range nameRule.FindAllSubmatch(match[1], -1) {
			want.Add(string(name[1]), "")
		}
		for _, framing := range []string{"Content-Length", "Transfer-Encoding", "Trailer"} {
			want.Del(framing)
			response.Header.Del(framing)
		}
		if diff := cmp.Diff(names(want), names(response.Header)); diff != "" {
			t.Errorf("names of %q (-want +got):\n%s", raw, diff)
		}
	})
}

// names returns the names of a header.
func names(h http.Header) map[string]bool {
	set := make(map[string]bool)
	for name := range h {
		set[name] = true
	}
	return set
}

// A response ends inside its head, after each of its bytes.
func TestResponseEndsInItsHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nName: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	} {
		for length := range head {
			if response, err := sendRecorded(t.Context(), []byte(head[:length])); err == nil {
				t.Errorf("after %q: status %d", head[:length], response.Status)
			}
		}
		if _, err := sendRecorded(t.Context(), []byte(head)); err != nil {
			t.Errorf("%q: %v", head, err)
		}
	}
}
