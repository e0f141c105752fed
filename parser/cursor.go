package parser

import (
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
)

// cursor reads the words of one rule and records faults in the builder.
type cursor struct {
	builder *builder
	line    int
	words   []word
	// next is the index of the next word.
	next int
	// end is the column after the last word.
	end int
	// failed is set by the first fault. It ends the parsing of the rule.
	failed bool
}

// atEnd reports whether the rule has no further word or has a fault.
func (c *cursor) atEnd() bool { return c.failed || c.next >= len(c.words) }

// nextWord returns the next word. If the rule has ended, it records a fault that
// states what is allowed here, and returns false.
func (c *cursor) nextWord(allowed string) (string, bool) {
	if c.next >= len(c.words) {
		c.failed = true
		c.builder.fault(c.line, c.end, "the end of the rule", allowed)
		return "", false
	}
	w := c.words[c.next]
	c.next++
	return w.Text, true
}

// reject records a fault at the word that the last call of nextWord returned.
func (c *cursor) reject(allowed string) {
	w := c.words[c.next-1]
	c.failed = true
	c.builder.fault(c.line, w.Pos.Column, strconv.Quote(w.Text), allowed)
}

// choose takes the next word, which must be one of known. If it is not, choose
// records a fault and returns the empty string.
func (c *cursor) choose(known ...string) string {
	text, ok := c.nextWord(strings.Join(known, ", "))
	if !ok {
		return ""
	}
	for _, k := range known {
		if k == text {
			return text
		}
	}
	c.reject(strings.Join(known, ", ") + nearest(text, known))
	return ""
}

// name takes the next word, whatever it is.
func (c *cursor) name(allowed string) string {
	text, _ := c.nextWord(allowed)
	return text
}

// integer takes a whole number from low to high, inclusive. If the next word is
// anything else, integer records a fault and returns 0.
func (c *cursor) integer(low, high int64) int64 {
	allowed := "a whole number from " + strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10)
	text, ok := c.nextWord(allowed)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		c.reject(allowed)
		return 0
	}
	return n
}

// duration takes a duration above zero. If the next word is anything else, duration
// records a fault and returns 0.
func (c *cursor) duration() time.Duration {
	const allowed = "a time above zero such as 500ms, 20s or 10m"
	text, ok := c.nextWord(allowed)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		c.reject(allowed)
		return 0
	}
	return d
}

// nearest returns a suggestion of the known word that is closest to word by edit
// distance. It returns the empty string if all are more than 2 edits away.
func nearest(word string, known []string) string {
	const maxDistance = 2
	best, distance := "", maxDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < distance {
			best, distance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}
