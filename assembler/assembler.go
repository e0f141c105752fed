package assembler

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tidwall/gjson"
)

// An Assembler collects the chunks of one streamed chat completion. It reads only the
// first choice. The zero value has no chunks and is ready for use.
type Assembler struct {
	id      string
	model   string
	created int64
	// finishReason is the finish reason of the answer. It is empty until a chunk
	// contains a finish reason.
	finishReason string
	// content and refusal hold the text of the answer and of the model's refusal.
	content   strings.Builder
	refusal   strings.Builder
	toolCalls []toolCall
	// usage is the last usage object, unchanged.
	usage json.RawMessage
	// chunks is the number of chunks added.
	chunks int64
}

// The following types define the JSON of a chat completion that is not streamed.

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

// Add adds the next chunk, which is the JSON of a chat.completion.chunk object. Fields
// of the wrong type count as missing.
func (a *Assembler) Add(data []byte) {
	chunk := gjson.ParseBytes(data)
	a.chunks++
	if a.id == "" {
		a.id = chunk.Get("id").String()
		a.model = chunk.Get("model").String()
		a.created = chunk.Get("created").Int()
	}
	if usage := chunk.Get("usage"); usage.IsObject() {
		a.usage = json.RawMessage(usage.Raw)
	}
	first := chunk.Get("choices.0")
	if reason := first.Get("finish_reason").String(); reason != "" {
		a.finishReason = reason
	}
	a.addDelta(first.Get("delta"))
}

// addDelta adds the changes that a chunk makes to the message.
func (a *Assembler) addDelta(delta gjson.Result) {
	a.content.WriteString(delta.Get("content").String())
	a.refusal.WriteString(delta.Get("refusal").String())
	delta.Get("tool_calls").ForEach(func(_, chunk gjson.Result) bool {
		a.addToolCall(chunk)
		return true
	})
}

// maxToolCalls is the maximum number of tool calls in one answer. It bounds the memory
// that a wrong index can allocate.
const maxToolCalls = 256

// addToolCall adds a part of a tool call. The part's index identifies the tool call
// that the part belongs to. A part whose index is out of range is ignored.
func (a *Assembler) addToolCall(chunk gjson.Result) {
	index := int(chunk.Get("index").Int())
	if index < 0 || index >= maxToolCalls {
		return
	}
	for len(a.toolCalls) <= index {
		a.toolCalls = append(a.toolCalls, toolCall{Type: "function"})
	}
	call := &a.toolCalls[index]
	if id := chunk.Get("id").String(); id != "" {
		call.ID = id
	}
	call.Function.Name += chunk.Get("function.name").String()
	call.Function.Arguments += chunk.Get("function.arguments").String()
}

// Chunks returns the number of chunks added so far.
func (a *Assembler) Chunks() int64 { return a.chunks }

// Finished reports whether a chunk had a finish reason, which marks the answer as
// complete.
func (a *Assembler) Finished() bool { return a.finishReason != "" }

// Text returns the text of the answer so far. The result named only is true if the
// answer has neither tool calls nor a refusal.
func (a *Assembler) Text() (text string, only bool) {
	return a.content.String(), len(a.toolCalls) == 0 && a.refusal.Len() == 0
}

// message returns the message so far. Its content is null if there are only tool calls.
func (a *Assembler) message() message {
	m := message{Role: "assistant", ToolCalls: a.toolCalls}
	if a.content.Len() > 0 || len(a.toolCalls) == 0 {
		text := a.content.String()
		m.Content = &text
	}
	if a.refusal.Len() > 0 {
		text := a.refusal.String()
		m.Refusal = &text
	}
	return m
}

// Message returns the JSON of the message so far. A caller includes this JSON in the
// messages of its next request.
func (a *Assembler) Message() (gjson.Result, error) {
	raw, err := json.Marshal(a.message())
	if err != nil {
		return gjson.Result{}, fmt.Errorf("encode message: %w", err)
	}
	return gjson.ParseBytes(raw), nil
}

// Completion returns the answer as the JSON of one chat.completion object.
func (a *Assembler) Completion() ([]byte, error) {
	raw, err := json.Marshal(completion{
		ID:      a.id,
		Object:  "chat.completion",
		Created: a.created,
		Model:   a.model,
		Choices: []choice{{Message: a.message(), FinishReason: a.finishReason}},
		Usage:   a.usage,
	})
	if err != nil {
		return nil, fmt.Errorf("encode completion: %w", err)
	}
	return raw, nil
}
