package caller

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"
	"github.com/tidwall/gjson"

	"github.com/citronpier/citronpier/descriptor"
)

// Message is one message of a program's history.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A Program is one program under way. Its calls are made one after the other.
type Program struct {
	ID string

	client   *Client
	token    string
	hosts    []string
	until    time.Time
	messages []Message
}

// Open opens a program of a kind. A budget of 0 is the kind's own.
func (c *Client) Open(ctx context.Context, kind string, budget int64) (*Program, error) {
	body, err := json.Marshal(map[string]any{"kind": kind, "budget": budget})
	if err != nil {
		return nil, fmt.Errorf("encode program: %w", err)
	}
	r, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/programs", body: body, hosts: c.known(ctx)})
	if err != nil {
		return nil, err
	}
	var answer struct {
		ID    string            `json:"id"`
		Token string            `json:"token"`
		Hosts []descriptor.Host `json:"hosts"`
	}
	if err := json.Unmarshal(r.body, &answer); err != nil {
		return nil, fmt.Errorf("decode program: %w", err)
	}
	return &Program{ID: answer.ID, client: c, token: answer.Token, hosts: addresses(answer.Hosts), until: time.Now().Add(homeFor)}, nil
}

// homeFor is how long a program's hosts are used without asking again.
const homeFor = 5 * time.Second

// refresh asks again for the program's hosts when their time is up.
func (p *Program) refresh(ctx context.Context, now time.Time) {
	if now.Before(p.until) {
		return
	}
	if hosts, err := p.client.Hosts(ctx, p.ID); err == nil && len(hosts) > 0 {
		p.hosts = hosts
		p.until = now.Add(homeFor)
	}
}

// Messages returns the history so far.
func (p *Program) Messages() []Message { return slices.Clone(p.messages) }

// Token returns the token of the last answer.
func (p *Program) Token() string { return p.token }

// Say adds a message and returns the model's answer.
func (p *Program) Say(ctx context.Context, model, text string, limit int64) (string, error) {
	p.refresh(ctx, time.Now())
	messages := append(slices.Clone(p.messages), Message{Role: "user", Content: text})
	body, err := json.Marshal(map[string]any{"model": model, "messages": messages, "max_tokens": limit})
	if err != nil {
		return "", fmt.Errorf("encode call: %w", err)
	}
	r, err := p.client.send(ctx, p.request("/v1/chat/completions", crand.Text(), body))
	if err != nil {
		return "", err
	}
	text, token := whole(r.body)
	p.messages = append(messages, Message{Role: "assistant", Content: text})
	p.token = token
	return text, nil
}

// whole returns the text and the token of an answer.
func whole(body []byte) (text, token string) {
	answer := gjson.ParseBytes(body)
	return answer.Get("choices.0.message.content").String(), answer.Get("citronpier.token").String()
}

// Stream adds a message and returns the model's answer, read as a stream. A
// stream that ends without its marker is asked for again as a whole.
func (p *Program) Stream(ctx context.Context, model, text string, limit int64) (string, error) {
	p.refresh(ctx, time.Now())
	messages := append(slices.Clone(p.messages), Message{Role: "user", Content: text})
	body, err := json.Marshal(map[string]any{
		"model": model, "messages": messages, "max_tokens": limit, "stream": true,
	})
	if err != nil {
		return "", fmt.Errorf("encode call: %w", err)
	}
	key := crand.Text()
	var last error
	for try := range tries {
		r, err := p.client.send(ctx, p.request("/v1/chat/completions", key, body))
		if err != nil {
			return "", err
		}
		var token string
		text, token, last = joined(r)
		if last == nil {
			p.messages = append(messages, Message{Role: "assistant", Content: text})
			p.token = token
			return text, nil
		}
		var failure *Failure
		if errors.As(last, &failure) && !failure.transient() {
			return "", failure
		}
		pause(ctx, try)
	}
	return "", &LostError{Cause: last}
}

// joined returns the text and the token of a whole stream.
func joined(r reply) (text, token string, err error) {
	decoder := ssestream.NewDecoder(&http.Response{
		Header: r.header, Body: io.NopCloser(bytes.NewReader(r.body)),
	})
	var b strings.Builder
	for decoder.Next() {
		data := bytes.TrimSpace(decoder.Event().Data)
		if string(data) == "[DONE]" {
			return b.String(), token, nil
		}
		part := gjson.ParseBytes(data)
		if part.Get("error").IsObject() {
			return "", "", failureOf(reply{status: http.StatusBadGateway, body: data})
		}
		b.WriteString(part.Get("choices.0.delta.content").String())
		if t := part.Get("citronpier.token"); t.Exists() {
			token = t.String()
		}
	}
	return "", "", &UnfinishedError{}
}

// UnfinishedError says that a stream ended without its end marker.
type UnfinishedError struct{}

// Error describes the failure.
func (*UnfinishedError) Error() string { return "the stream ended without its end marker" }

// Serve calls a plain service. Calls with one key run at most once.
func (p *Program) Serve(ctx context.Context, service, path, key string, body []byte) ([]byte, error) {
	p.refresh(ctx, time.Now())
	r, err := p.client.send(ctx, p.request("/v1/services/"+service+"/"+path, key, body))
	if err != nil {
		return nil, err
	}
	if token := r.header.Get("Citronpier-Token"); token != "" {
		p.token = token
	}
	return r.body, nil
}

// Finish ends the program.
func (p *Program) Finish(ctx context.Context) error {
	p.refresh(ctx, time.Now())
	_, err := p.client.send(ctx, request{method: http.MethodDelete, path: "/v1/programs/" + p.ID, hosts: p.hosts})
	return err
}

func (p *Program) request(path, key string, body []byte) request {
	return request{
		method: http.MethodPost,
		path:   path,
		body:   body,
		hosts:  p.hosts,
		header: http.Header{
			"Content-Type":     {"application/json"},
			"Idempotency-Key":  {key},
			"Citronpier-Token": {p.token},
		},
	}
}

// System puts a system message at the front of an empty history.
func (p *Program) System(text string) {
	if len(p.messages) == 0 {
		p.messages = []Message{{Role: "system", Content: text}}
	}
}
