package server_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/sequencer"
	"github.com/citronpier/citronpier/server"
)

// commands records the refusals that the server counts. All other methods
// panic.
type commands struct {
	server.Commands
	refused []refuser.Reason
}

func (c *commands) CountRefused(r refuser.Reason) { c.refused = append(c.refused, r) }

// queries returns fixed rules. All other methods panic.
type queries struct {
	server.Queries
	rules parser.Rules
}

func (q queries) Rules() parser.Rules { return q.rules }

// refusal holds the parts of a refusal that the tests compare.
type refusal struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Run    string `json:"run"`
}

const maxBody = 1 << 12

// TestRefusals checks that the server refuses each invalid request in
// testdata/refusals.txtar with the expected status, type and run, and counts the
// refusal once.
func TestRefusals(t *testing.T) {
	signer, err := sequencer.NewSigner([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	rules, err := parser.Parser{}.Parse(examples.Demo)
	if err != nil {
		t.Fatal(err)
	}
	archive, err := txtar.ParseFile("testdata/refusals.txtar")
	if err != nil {
		t.Fatal(err)
	}
	replacer := strings.NewReplacer(
		"OVERSIZE", strings.Repeat("x", maxBody),
		"FOREIGN", sealToken(t, signer, "baromedr"),
		"OWN", sealToken(t, signer, "deepam"),
	)
	for i := 0; i < len(archive.Files); i += 2 {
		request, want := archive.Files[i], archive.Files[i+1]
		t.Run(path.Dir(request.Name), func(t *testing.T) {
			c := &commands{}
			s, err := server.New(server.Config{
				Commands: c, Queries: queries{rules: rules.WithVersion(1)}, Signer: signer, MaxBody: maxBody,
			})
			if err != nil {
				t.Fatal(err)
			}
			var expected refusal
			if err := json.Unmarshal(want.Data, &expected); err != nil {
				t.Fatal(err)
			}
			got := answerTo(t, s, replacer.Replace(string(request.Data)))
			if diff := cmp.Diff(expected, got); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]refuser.Reason{refuser.Reason(expected.Type)}, c.refused); diff != "" {
				t.Errorf("counted (-want +got):\n%s", diff)
			}
		})
	}
}

// sealToken returns the text of a program token of an organisation.
func sealToken(t *testing.T, s *sequencer.Signer, organisation string) string {
	t.Helper()
	text, err := s.Seal(&recorder.Token{Program: "program-a", Organisation: organisation})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// answerTo returns the refusal that answers a request, which is given as the
// text of its header, an empty line and the body.
func answerTo(t *testing.T, s *server.Server, text string) refusal {
	t.Helper()
	head, body, _ := strings.Cut(text, "\n\n")
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	r.Body = io.NopCloser(strings.NewReader(body))
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	var answer struct {
		Error refusal `json:"error"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
		t.Fatalf("answer %q: %v", w.Body.String(), err)
	}
	answer.Error.Status = w.Code
	return answer.Error
}
