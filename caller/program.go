package caller

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

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
	messages []Message
}

// Open opens a program of a kind. A budget of 0 is the kind's own.
func (c *Client) Open(ctx context.Context, kind string, budget int64) (*Program, error) {
	body, err := json.Marshal(map[string]any{"kind": kind, "budget": budget})
	if err != nil {
		return nil, fmt.Errorf("encode program: %w", err)
	}
	r, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/programs", body: body, hosts: c.known()})
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
	return &Program{ID: answer.ID, client: c, token: answer.Token, hosts: addresses(answer.Hosts)}, nil
}

// Messages returns the history so far.
func (p *Program) Messages() []Message { return slices.Clone(p.messages) }

// Token returns the token of the last answer.
func (p *Program) Token() string { return p.token }

// Say adds a message and returns the model's answer.
func (p *Program) Say(ctx context.Context, model, text string, limit int64) (string, error) {
	messages := append(slices.Clone(p.messages), Message{Role: "user", Content: text})
	body, err := json.Marshal(map[string]any{"model": model, "messages": messages, "max_tokens": limit})
	if err != nil {
		return "", fmt.Errorf("encode call: %w", err)
	}
	r, err := p.client.send(ctx, p.request("/v1/chat/completions", crand.Text(), body))
	if err != nil {
		return "", err
	}
	var answer struct {
		Choices []struct {
			Message Message `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(r.body, &answer); err != nil || len(answer.Choices) == 0 {
		return "", &LostError{Cause: fmt.Errorf("decode answer: %w", err)}
	}
	reply := answer.Choices[0].Message
	p.messages = append(messages, reply)
	p.token = r.header.Get("Citronpier-Token")
	return reply.Content, nil
}

// Serve calls a plain service. Calls with one key run at most once.
func (p *Program) Serve(ctx context.Context, service, path, key string, body []byte) ([]byte, error) {
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
