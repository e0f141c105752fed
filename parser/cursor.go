package parser

import (
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
)

// cursor reads the words of one rule.
type cursor struct {
	builder *builder
	line    int
	words   []word
	next    int
	// end is the column after the last word.
	end    int
	failed bool
}

func (c *cursor) done() bool { return c.failed || c.next >= len(c.words) }

// take returns the next word. Where there is none, it reports what is allowed.
func (c *cursor) take(allowed string) (string, bool) {
	if c.next >= len(c.words) {
		c.failed = true
		c.builder.fault(c.line, c.end, "the end of the rule", allowed)
		return "", false
	}
	w := c.words[c.next]
	c.next++
	return w.Text, true
}

// reject reports the word that was taken last.
func (c *cursor) reject(allowed string) {
	w := c.words[c.next-1]
	c.failed = true
	c.builder.fault(c.line, w.Pos.Column, strconv.Quote(w.Text), allowed)
}

// choose takes one of the given words.
func (c *cursor) choose(known ...string) string {
	text, ok := c.take(strings.Join(known, ", "))
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

func (c *cursor) name(allowed string) string {
	text, _ := c.take(allowed)
	return text
}

// integer takes a whole number between two bounds.
func (c *cursor) integer(low, high int64) int64 {
	allowed := "a whole number from " + strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10)
	text, ok := c.take(allowed)
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

func (c *cursor) duration() time.Duration {
	const allowed = "a time above zero such as 500ms, 20s or 10m"
	text, ok := c.take(allowed)
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

// nearest suggests the known word closest to the one met.
func nearest(met string, known []string) string {
	const closeEnough = 2
	best, distance := "", closeEnough+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(met, k); d < distance {
			best, distance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}
