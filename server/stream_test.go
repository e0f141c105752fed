package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/sequencer"
	"github.com/citronpier/citronpier/server"
)

// scriptedCommands is a home that answers every call with the given frames.
type scriptedCommands struct {
	commands
	frames []*messenger.Frame
}

func (s *scriptedCommands) Call(context.Context, string, *messenger.CallRequest) (connector.Frames, error) {
	return &scriptedFrames{frames: s.frames}, nil
}

// scriptedFrames returns the given frames and then an error, like a connection
// that is interrupted before the last frame.
type scriptedFrames struct{ frames []*messenger.Frame }

func (p *scriptedFrames) Next() (*messenger.Frame, error) {
	if len(p.frames) == 0 {
		return nil, refuser.New(refuser.Unfinished, "broken off")
	}
	f := p.frames[0]
	p.frames = p.frames[1:]
	return f, nil
}

func (*scriptedFrames) Close() error { return nil }

// TestStreams checks the events of a streamed answer: a complete answer carries
// the signed token in its final chunk and ends with [DONE]. An answer that is
// refused or interrupted ends with an error event and never with [DONE], because
// a client would take that answer for complete.
func TestStreams(t *testing.T) {
	partial := messenger.ChunkFrame(0, []byte(`{"choices":[{"delta":{"content":"a"},"finish_reason":null}]}`))
	final := messenger.ChunkFrame(1, []byte(`{"choices":[{"delta":{},"finish_reason":"stop"}]}`))
	usage := messenger.ChunkFrame(2, []byte(`{"choices":[],"usage":{}}`))
	end := messenger.EndFrame(&messenger.End{Token: "T", Call: "C"})
	fault := messenger.FaultFrame(refuser.New(refuser.Upstream, "gone"))
	for _, c := range []struct {
		name   string
		frames []*messenger.Frame
		want   []string
	}{
		{"whole", []*messenger.Frame{partial, final, usage, end}, []string{
			`id: 0`, `data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}`,
			`id: 1`, `data: {"choices":[{"delta":{},"finish_reason":"stop"}],"citronpier":{"token":"T","call":"C"}}`,
			`data: [DONE]`,
		}},
		{"refused midway", []*messenger.Frame{partial, fault}, []string{
			`id: 0`, `data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}`,
			`data: {"error":{"type":"upstream","message":"gone","code":"upstream","param":null,"run":"no"}}`,
		}},
		{"broken off before its end", []*messenger.Frame{partial, final}, []string{
			`id: 0`, `data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}`,
			`data: {"error":{"type":"unfinished","message":"broken off","code":"unfinished","param":null,"run":"no"}}`,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := strings.FieldsFunc(streamAnswer(t, c.frames), func(r rune) bool { return r == '\n' })
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("stream (-want +got):\n%s", diff)
			}
		})
	}
}

// streamAnswer returns the body of the response to a streamed call whose home
// answers with the given frames.
func streamAnswer(t *testing.T, frames []*messenger.Frame) string {
	t.Helper()
	rules, err := parser.Parser{}.Parse(examples.Demo)
	if err != nil {
		t.Fatal(err)
	}
	signer, err := sequencer.NewSigner([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := server.New(server.Config{
		Commands: &scriptedCommands{frames: frames}, Queries: queries{rules: rules.WithVersion(1)}, Signer: signer,
	})
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`))
	r.Header.Set("Authorization", "Bearer "+examples.DeepamKey)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Body.String()
}
