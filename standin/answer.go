package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

const (
	// shortest and spread set the length of answers, in tokens.
	shortest = 4
	spread   = 28
)

// prompt returns the text that decides the answer, and how many of its tokens
// are already given where the request continues an answer.
func prompt(body gjson.Result) (text string, already int) {
	messages := body.Get("messages").Array()
	if body.Get("continue_final_message").Bool() && len(messages) > 0 {
		final := messages[len(messages)-1].Get("content").String()
		already = len(strings.Fields(final))
		messages = messages[:len(messages)-1]
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Get("role").String())
		b.WriteString(m.Get("content").String())
	}
	return b.String(), already
}

// words returns the answer to a prompt from a position on. The same prompt
// always has the same answer.
func words(prompt string, already int, limit int64) (list []string, finish string) {
	seed := xxhash.Sum64String(prompt)
	length := shortest + int(seed%spread)
	finish = "stop"
	for i := already; i < length; i++ {
		if int64(len(list)) == limit {
			return list, "length"
		}
		list = append(list, fmt.Sprintf("w%d-%x ", i, (seed>>(i%32))&0xff))
	}
	return list, finish
}

// Answer returns what an engine answers to a prompt, given as the roles and
// contents of its messages joined.
func Answer(prompt string, limit int64) string {
	list, _ := words(prompt, 0, limit)
	return strings.Join(list, "")
}
