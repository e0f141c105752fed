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

// Message is one message of a program's history. Role is system, user or
// assistant.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A Program is a running agent program. Its methods must not be called
// concurrently: each call continues the history of the one before it.
type Program struct {
	ID string

	client *Client
	// token is the signed token that came with the last answer. The next call
	// must carry it.
	token string
	// hosts are the addresses for the program's calls. The first is the address of
	// the home, the host that owns the program. The addresses may be used until
	// hostsExpiry.
	hosts       []string
	hostsExpiry time.Time
	messages    []Message
}

// Open opens a program of a kind that the rules name. The budget is in
// generated tokens; 0 stands for the budget that the rules give to the kind.
func (c *Client) Open(ctx context.Context, kind string, budget int64) (*Program, error) {
	body, err := json.Marshal(map[string]any{"kind": kind, "budget": budget})
	if err != nil {
		return nil, fmt.Errorf("encode program: %w", err)
	}
	r, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/programs", body: body, hosts: c.currentHosts(ctx, time.Now())})
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
	return &Program{ID: answer.ID, client: c, token: answer.Token, hosts: addresses(answer.Hosts), hostsExpiry: time.Now().Add(hostsTTL)}, nil
}

// hostsTTL is how long the addresses of a program's hosts are used before they
// are requested again.
const hostsTTL = 5 * time.Second

// refresh requests the program's hosts again after hostsExpiry. If that fails,
// the old addresses stay in use.
func (p *Program) refresh(ctx context.Context, now time.Time) {
	if now.Before(p.hostsExpiry) {
		return
	}
	if hosts, err := p.client.Hosts(ctx, p.ID); err == nil && len(hosts) > 0 {
		p.hosts = hosts
		p.hostsExpiry = now.Add(hostsTTL)
	}
}

// Messages returns a copy of the program's message history.
func (p *Program) Messages() []Message { return slices.Clone(p.messages) }

// Token returns the signed token that came with the last answer. It contains the
// state of the program, and the next call must carry it.
func (p *Program) Token() string { return p.token }

// Say sends a user message and returns the model's answer. Both are added to the
// history. The limit bounds the length of the answer, in model tokens. If the
// call fails, the history stays unchanged, and the error is a Failure or an
// AttemptsError.
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
	text, token := parseCompletion(r.body)
	p.messages = append(messages, Message{Role: "assistant", Content: text})
	p.token = token
	return text, nil
}

// parseCompletion returns the text and the program token of a chat completion.
func parseCompletion(body []byte) (text, token string) {
	answer := gjson.ParseBytes(body)
	return answer.Get("choices.0.message.content").String(), answer.Get("citronpier.token").String()
}

// Stream does the same as Say, but requests the answer as a stream of events. If the
// stream is interrupted before its end marker, the complete stream is requested again
// with the same idempotency key.
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
	for attempt := range maxAttempts {
		r, err := p.client.send(ctx, p.request("/v1/chat/completions", key, body))
		if err != nil {
			return "", err
		}
		var token string
		text, token, last = parseStream(r)
		if last == nil {
			p.messages = append(messages, Message{Role: "assistant", Content: text})
			p.token = token
			return text, nil
		}
		var failure *Failure
		if errors.As(last, &failure) && !failure.transient() {
			return "", failure
		}
		backOff(ctx, attempt)
	}
	return "", &AttemptsError{Cause: last}
}

// parseStream joins the text of a stream's events and returns it with the program
// token. It returns a Failure for a stream that ends with an error event, and an
// UnfinishedError for a stream without an end marker.
func parseStream(r response) (text, token string, err error) {
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
			return "", "", newFailure(response{status: http.StatusBadGateway, body: data})
		}
		b.WriteString(part.Get("choices.0.delta.content").String())
		if t := part.Get("citronpier.token"); t.Exists() {
			token = t.String()
		}
	}
	return "", "", &UnfinishedError{}
}

// UnfinishedError reports that a stream ended without the end marker [DONE], so
// that its text may be incomplete.
type UnfinishedError struct{}

// Error reports that the end marker is missing.
func (*UnfinishedError) Error() string { return "stream ended without the end marker [DONE]" }

// CallService sends a call with the given body to a path of a plain service,
// which runs no model, and returns the body of the response. Several calls with
// the same idempotency key run at most once in total.
func (p *Program) CallService(ctx context.Context, service, path, key string, body []byte) ([]byte, error) {
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

// Finish tells the program's home that the program has ended.
func (p *Program) Finish(ctx context.Context) error {
	p.refresh(ctx, time.Now())
	_, err := p.client.send(ctx, request{method: http.MethodDelete, path: "/v1/programs/" + p.ID, hosts: p.hosts})
	return err
}

// request returns a POST request that carries an idempotency key and the
// program's token.
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

// System sets the system message. It does nothing if the history is not empty.
func (p *Program) System(text string) {
	if len(p.messages) == 0 {
		p.messages = []Message{{Role: "system", Content: text}}
	}
}
