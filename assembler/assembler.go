package assembler

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tidwall/gjson"
)

// An Assembler collects the parts of one answer with one choice. The zero
// value has no parts.
type Assembler struct {
	id      string
	model   string
	created int64
	finish  string
	content strings.Builder
	refusal strings.Builder
	calls   []toolCall
	usage   json.RawMessage
	parts   int64
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function functionCall `json:"function"`
}

type functionCall struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type message struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// Add adds the next part.
func (a *Assembler) Add(data []byte) {
	part := gjson.ParseBytes(data)
	a.parts++
	if a.id == "" {
		a.id = part.Get("id").String()
		a.model = part.Get("model").String()
		a.created = part.Get("created").Int()
	}
	if usage := part.Get("usage"); usage.IsObject() {
		a.usage = json.RawMessage(usage.Raw)
	}
	first := part.Get("choices.0")
	if reason := first.Get("finish_reason").String(); reason != "" {
		a.finish = reason
	}
	a.delta(first.Get("delta"))
}

func (a *Assembler) delta(delta gjson.Result) {
	a.content.WriteString(delta.Get("content").String())
	a.refusal.WriteString(delta.Get("refusal").String())
	delta.Get("tool_calls").ForEach(func(_, part gjson.Result) bool {
		a.toolCall(part)
		return true
	})
}

// maxToolCalls bounds the tool calls of one answer.
const maxToolCalls = 256

func (a *Assembler) toolCall(part gjson.Result) {
	index := int(part.Get("index").Int())
	if index < 0 || index >= maxToolCalls {
		return
	}
	for len(a.calls) <= index {
		a.calls = append(a.calls, toolCall{Type: "function"})
	}
	call := &a.calls[index]
	if id := part.Get("id").String(); id != "" {
		call.ID = id
	}
	call.Function.Name += part.Get("function.name").String()
	call.Function.Arguments += part.Get("function.arguments").String()
}

// Parts returns the number of parts so far.
func (a *Assembler) Parts() int64 { return a.parts }

// Finished reports whether the engine has given a reason for the answer's end.
func (a *Assembler) Finished() bool { return a.finish != "" }

// Text returns the answer's text so far, and whether text is all there is.
func (a *Assembler) Text() (text string, only bool) {
	return a.content.String(), len(a.calls) == 0 && a.refusal.Len() == 0
}

func (a *Assembler) message() message {
	m := message{Role: "assistant", ToolCalls: a.calls}
	if a.content.Len() > 0 || len(a.calls) == 0 {
		text := a.content.String()
		m.Content = &text
	}
	if a.refusal.Len() > 0 {
		text := a.refusal.String()
		m.Refusal = &text
	}
	return m
}

// Message returns the assistant message as a caller sends it back.
func (a *Assembler) Message() (gjson.Result, error) {
	raw, err := json.Marshal(a.message())
	if err != nil {
		return gjson.Result{}, fmt.Errorf("encode message: %w", err)
	}
	return gjson.ParseBytes(raw), nil
}

// Completion returns the whole answer as one chat.completion object.
func (a *Assembler) Completion() ([]byte, error) {
	raw, err := json.Marshal(completion{
		ID:      a.id,
		Object:  "chat.completion",
		Created: a.created,
		Model:   a.model,
		Choices: []choice{{Message: a.message(), FinishReason: a.finish}},
		Usage:   a.usage,
	})
	if err != nil {
		return nil, fmt.Errorf("encode completion: %w", err)
	}
	return raw, nil
}
