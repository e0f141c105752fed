package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/sequencer"
	"github.com/citronpier/citronpier/server"
)

// refusing refuses every call that passes the server's own checks.
type refusing struct{ commands }

func (refusing) Call(context.Context, string, *messenger.CallRequest) (connector.Frames, error) {
	return nil, refuser.New(refuser.Queue, "full")
}

func FuzzChat(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"a"}]}`, "")
	f.Add(`{"model":"m","messages":[{"content":[{"type":"text"}]}],"max_tokens":1e99}`, "CgEyEgEz")
	rules, err := parser.Parser{}.Parse(examples.Demo)
	if err != nil {
		f.Fatal(err)
	}
	signer, err := sequencer.NewSigner([]byte("0123456789abcdef"))
	if err != nil {
		f.Fatal(err)
	}
	s, err := server.New(server.Config{
		Commands: &refusing{}, Queries: queries{rules: rules.WithVersion(1)}, Signer: signer,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body, token string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+examples.DeepamKey)
		r.Header.Set("Citronpier-Token", token)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code < http.StatusBadRequest || w.Code == http.StatusInternalServerError {
			t.Errorf("status %d for body %q and token %q", w.Code, body, token)
		}
	})
}
