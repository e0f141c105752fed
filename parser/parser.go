package parser

import (
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
)

// A Parser turns the text of a rule file into rules. The zero value is ready
// for use.
type Parser struct{}

// Parse returns the rules of a file or every mistake in it, as Faults.
func (Parser) Parse(text string) (Rules, error) {
	b := newBuilder(text)
	for i, source := range strings.Split(text, "\n") {
		b.line(i+1, source)
	}
	b.finish()
	if len(b.faults) > 0 {
		return Rules{}, b.faults
	}
	return b.rules, nil
}

func (b *builder) line(number int, source string) {
	parsed, err := grammar.ParseString("", source)
	if err != nil {
		b.syntax(number, err)
		return
	}
	if len(parsed.Words) == 0 {
		return
	}
	origin, ok := b.origin(number, source, parsed.Comment)
	if !ok {
		return
	}
	c := &cursor{builder: b, line: number, words: parsed.Words, end: endColumn(source, parsed.Comment)}
	b.statement(c, origin)
}

func (b *builder) syntax(number int, err error) {
	column := 1
	if e, ok := err.(participle.Error); ok {
		column = e.Position().Column
	}
	b.fault(number, column, "text that is not a rule", "words and a comment")
}

// origin reads who asked for a rule and why from its comment.
func (b *builder) origin(number int, source, comment string) (Source, bool) {
	asker, reason, found := strings.Cut(strings.TrimPrefix(comment, "#"), ":")
	asker = strings.TrimSpace(asker)
	reason = strings.TrimSpace(reason)
	if !found || asker == "" || reason == "" {
		b.fault(number, endColumn(source, comment), "no asker and reason",
			"a comment at the end of the line: # NAME: WHY")
		return Source{}, false
	}
	return Source{Line: number, Asker: asker, Reason: reason, Text: strings.TrimSpace(source)}, true
}

func endColumn(source, comment string) int {
	return utf8.RuneCountInString(strings.TrimSuffix(source, comment)) + 1
}
