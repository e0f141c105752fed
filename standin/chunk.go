package standin

import "encoding/json"

// completionChunk is one event of a streamed chat completion, in the OpenAI
// format.
type completionChunk struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *chunkUsage `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chunkUsage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func newChunk(g *generation) completionChunk {
	return completionChunk{ID: g.run.Call, Object: "chat.completion.chunk", Created: g.run.Began.Unix(), Model: g.model, Choices: []choice{}}
}

// chunk returns the encoded event for one word of an answer. For the last word,
// finish is the finish reason; for all other words it is empty.
func chunk(g *generation, word, finish string) []byte {
	p := newChunk(g)
	c := choice{Delta: delta{Role: "assistant", Content: word}}
	if finish != "" {
		c.FinishReason = &finish
	}
	p.Choices = append(p.Choices, c)
	return encode(p)
}

// usageChunk returns the encoded event with the token counts. This event is the
// last event of a complete answer.
func usageChunk(g *generation) []byte {
	p := newChunk(g)
	n := int64(len(g.words))
	p.Usage = &chunkUsage{
		PromptTokens: g.run.Prompt, CompletionTokens: n, TotalTokens: g.run.Prompt + n,
		Details: promptDetails{CachedTokens: g.run.Cached},
	}
	return encode(p)
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return raw
}
