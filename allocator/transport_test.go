package allocator_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/allocator"
)

// Another host, or what listens at its address, sends a body without end.
func TestEndlessBodyIsReadAsAWhole(t *testing.T) {
	const memory = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/normal" {
			_, _ = io.WriteString(w, "normal")
			return
		}
		for piece := make([]byte, 1000); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	pool := &allocator.Pool{Bytes: memory}
	client := http.Client{Transport: &allocator.Transport{Base: &http.Transport{}, Pool: pool}}
	defer client.CloseIdleConnections()
	for _, c := range []struct {
		path, want string
		exhausted  bool
	}{{"/normal", "normal", false}, {"/endless", "", true}, {"/normal", "normal", false}} {
		res, err := client.Get(server.URL + c.path)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		var exhausted *allocator.ExhaustedError
		if diff := cmp.Diff([]any{c.exhausted, true}, []any{errors.As(err, &exhausted), c.exhausted || string(raw) == c.want}); diff != "" {
			t.Errorf("%s: exhausted, body as expected (-want +got):\n%s", c.path, diff)
		}
		if diff := cmp.Diff(int64(0), pool.Used()); diff != "" {
			t.Errorf("%s: used after the close (-want +got):\n%s", c.path, diff)
		}
	}
}
