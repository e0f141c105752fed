package validator_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/internal/responder"
	"github.com/citronpier/citronpier/validator"
)

// After a broken response without a body, bytes that belong to no request may follow on the
// connection: the next request takes another one.
func TestConnectionIsUsedAfterBrokenResponse(t *testing.T) {
	var mu sync.Mutex
	var connections []string
	address := responder.Serve(t, func(c net.Conn, r *http.Request) bool {
		mu.Lock()
		connections = append(connections, c.RemoteAddr().String())
		mu.Unlock()
		head := "HTTP/1.1 200 OK\r\n"
		if r.URL.Path == "/broken" {
			head += "Bad Name: x\r\n"
		}
		_, _ = io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
		return true
	})
	client := http.Client{Transport: &validator.Transport{Base: &http.Transport{}}}
	for _, path := range []string{"/whole", "/broken", "/whole"} {
		res, err := client.Get("http://" + address + path)
		var head *validator.HeadError
		if broken := errors.As(err, &head); broken != strings.Contains(path, "broken") {
			t.Errorf("%s: %v", path, err)
		}
		if err == nil {
			_ = res.Body.Close()
		}
	}
	same := []bool{connections[0] == connections[1], connections[1] == connections[2]}
	if diff := cmp.Diff([]bool{true, false}, same); diff != "" {
		t.Errorf("requests on the connection of the one before (-want +got):\n%s", diff)
	}
}
