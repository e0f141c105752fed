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

// refusingCommands is a home that refuses every call.
type refusingCommands struct{ commands }

func (refusingCommands) Call(context.Context, string, *messenger.CallRequest) (connector.Frames, error) {
	return nil, refuser.New(refuser.Queue, "full")
}

// FuzzChat sends arbitrary bodies and tokens to a server whose home refuses every
// call. Each request must be refused, with a status of 400 or above that is not
// 500.
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
		Commands: &refusingCommands{}, Queries: queries{rules: rules.WithVersion(1)}, Signer: signer,
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
