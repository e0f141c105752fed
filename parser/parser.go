package parser

import (
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
)

// A Parser turns the text of a rule file into rules. The zero value is ready
// for use.
type Parser struct{}

// Parse parses the text of a rule file. If the text has mistakes, Parse returns
// the faults of all lines as an error of type Faults.
func (Parser) Parse(text string) (Rules, error) {
	b := newBuilder(text)
	for i, source := range strings.Split(text, "\n") {
		b.parseLine(i+1, source)
	}
	b.checkLimits()
	if len(b.faults) > 0 {
		return Rules{}, b.faults
	}
	return b.rules, nil
}

// parseLine parses one line and adds its rule or a fault. Lines without words are
// skipped.
func (b *builder) parseLine(number int, source string) {
	parsed, err := grammar.ParseString("", source)
	if err != nil {
		b.syntaxFault(number, err)
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
	b.parseRule(c, origin)
}

// syntaxFault records a fault for a line that the grammar rejects.
func (b *builder) syntaxFault(number int, err error) {
	column := 1
	if e, ok := err.(participle.Error); ok {
		column = e.Position().Column
	}
	b.fault(number, column, "text that is not a rule", "words and a comment")
}

// origin parses a rule's comment into the name of who asked for the rule and the
// reason. If either is missing, it records a fault and returns false.
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

// endColumn returns the column at which a line's comment begins, or the column after
// the line's end if there is no comment.
func endColumn(source, comment string) int {
	return utf8.RuneCountInString(strings.TrimSuffix(source, comment)) + 1
}
