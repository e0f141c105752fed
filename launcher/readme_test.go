package launcher_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// readmeCall is the HTTP request of one curl command in the README.
type readmeCall struct {
	method, path, body string
	header             http.Header
}

var (
	curlStart  = regexp.MustCompile(`(?m)^curl .*$`)
	curlURL    = regexp.MustCompile(`http://127\.0\.0\.1:8080(\S*)`)
	curlHeader = regexp.MustCompile(`-H '([^:]+): ([^']*)'`)
	curlBody   = regexp.MustCompile(`-d '([^']*)'`)
)

// parseReadmeCalls returns the curl commands of the README as HTTP requests.
func parseReadmeCalls(t *testing.T) []readmeCall {
	t.Helper()
	raw, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(raw), "\\\n", " ")
	var calls []readmeCall
	for _, line := range curlStart.FindAllString(text, -1) {
		c := readmeCall{method: http.MethodGet, header: make(http.Header)}
		c.path = curlURL.FindStringSubmatch(line)[1]
		for _, h := range curlHeader.FindAllStringSubmatch(line, -1) {
			c.header.Set(h[1], h[2])
		}
		if body := curlBody.FindStringSubmatch(line); body != nil {
			c.method, c.body = http.MethodPost, body[1]
		}
		calls = append(calls, c)
	}
	return calls
}

// Every curl command in the README gets a 200 or 201 response.
func TestReadmeCalls(t *testing.T) {
	f := startFleet(t)
	calls := parseReadmeCalls(t)
	if len(calls) < 2 {
		t.Fatalf("the README has %d curl commands, want at least 2", len(calls))
	}
	for _, c := range calls {
		t.Run(c.path, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+f.Hosts[0].Caller+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header = c.header
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			raw, _ := io.ReadAll(res.Body)
			if diff := cmp.Diff(http.StatusOK, res.StatusCode); diff != "" && res.StatusCode != http.StatusCreated {
				t.Errorf("status (-want +got):\n%s%s", diff, raw)
			}
		})
	}
}

// A request with both an unknown model and an unknown kind is refused for the
// model, not for the kind.
func TestUnknownModel(t *testing.T) {
	f := startFleet(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.Hosts[0].Caller+"/v1/chat/completions",
		strings.NewReader(`{"model": "none", "messages": [{"role": "user", "content": "x"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer deepam-demo-key")
	req.Header.Set("Citronpier-Kind", "no such kind")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	if !strings.Contains(string(raw), `no upstream serves model`) {
		t.Errorf("got status %d, body %s; want a refusal that names the model", res.StatusCode, raw)
	}
}
