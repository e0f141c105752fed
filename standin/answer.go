package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

const (
	// An answer has between minAnswerTokens and minAnswerTokens +
	// answerTokenSpread - 1 tokens, unless the request's limit is lower.
	minAnswerTokens   = 4
	answerTokenSpread = 28
)

// parsePrompt joins the roles and contents of a request's messages into text,
// which determines the answer. If the request continues a partial answer, the
// last message is the partial answer. It is not part of text, and its number of
// words is start, the index of the first answer word to generate.
func parsePrompt(body gjson.Result) (text string, start int) {
	messages := body.Get("messages").Array()
	if body.Get("continue_final_message").Bool() && len(messages) > 0 {
		final := messages[len(messages)-1].Get("content").String()
		start = len(strings.Fields(final))
		messages = messages[:len(messages)-1]
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Get("role").String())
		b.WriteString(m.Get("content").String())
	}
	return b.String(), start
}

// answerWords returns at most limit words of the answer to a prompt, beginning
// with the word at index start. The finish reason is "length" if the limit
// shortened the answer, otherwise "stop". The same prompt always gets the same answer.
func answerWords(prompt string, start int, limit int64) (list []string, finish string) {
	seed := xxhash.Sum64String(prompt)
	length := minAnswerTokens + int(seed%answerTokenSpread)
	finish = "stop"
	for i := start; i < length; i++ {
		if int64(len(list)) == limit {
			return list, "length"
		}
		list = append(list, fmt.Sprintf("w%d-%x ", i, (seed>>(i%32))&0xff))
	}
	return list, finish
}

// Answer returns an engine's answer to a prompt, of at most limit tokens. The
// prompt is the concatenation of the role and the content of each message.
func Answer(prompt string, limit int64) string {
	list, _ := answerWords(prompt, 0, limit)
	return strings.Join(list, "")
}
