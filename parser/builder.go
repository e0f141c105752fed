package parser

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

const (
	// Upper bounds of the numbers in a rule file.
	maxWeight  = 1000
	maxBudget  = 1 << 40
	maxCalls   = 1 << 20
	maxRate    = 1 << 20
	maxPercent = 100

	// keyBytes is the length of an organisation's SHA-256 key hash.
	keyBytes = 32
	// defaultRetention is Kind.Retention of a kind whose rule does not set it.
	defaultRetention = 2 * time.Minute
)

// builder collects the rules and the faults of one file.
type builder struct {
	rules  Rules
	faults Faults
	// seen maps a rule's subject, such as "kind fitter", to the line of the first
	// rule for it. A subject may have only one rule.
	seen map[string]int
}

func newBuilder(text string) *builder {
	return &builder{
		rules: Rules{
			Text:          text,
			organisations: make(map[string]Organisation),
			kinds:         make(map[string]Kind),
			services:      make(map[string]Service),
			limits:        make(map[string]Limit),
		},
		seen: make(map[string]int),
	}
}

// fault records a fault. Line and column count from 1.
func (b *builder) fault(line, column int, met, allowed string) {
	b.faults = append(b.faults, Fault{Line: line, Column: column, Met: met, Allowed: allowed})
}

// parseRule parses one rule. The first word is the type of the rule and selects the
// method that parses the rest.
func (b *builder) parseRule(c *cursor, s Source) {
	switch c.choose("organisation", "kind", "service", "floor", "limit", "clock") {
	case "organisation":
		b.parseOrganisation(c, s)
	case "kind":
		b.parseKind(c, s)
	case "service":
		b.parseService(c, s)
	case "floor":
		b.parseFloor(c, s)
	case "limit":
		b.parseLimit(c, s)
	case "clock":
		b.parseClock(c, s)
	}
}

// addRule adds a rule to the list if its line parsed without a fault. A second rule
// for the same subject is a fault. addRule reports whether the rule was added.
func (b *builder) addRule(c *cursor, subject string, r Rule) bool {
	if c.failed {
		return false
	}
	if first, duplicate := b.seen[subject]; duplicate {
		b.fault(c.line, 1, "a second rule for "+subject,
			fmt.Sprintf("one rule; the first stands on line %d", first))
		return false
	}
	b.seen[subject] = c.line
	b.rules.List = append(b.rules.List, r)
	return true
}

func (b *builder) parseOrganisation(c *cursor, s Source) {
	o := Organisation{Source: s, Name: c.name("an organisation's name"), Weight: 1}
	for !c.atEnd() {
		switch c.choose("key", "weight") {
		case "key":
			o.Key = c.keyHash()
		case "weight":
			o.Weight = int(c.integer(1, maxWeight))
		}
	}
	if !c.failed && o.Key == "" {
		b.fault(c.line, c.end, "the end of the rule", "key and the SHA-256 of the key in hexadecimal")
		return
	}
	if b.addRule(c, "organisation "+o.Name, o) {
		b.rules.organisations[o.Key] = o
	}
}

// keyHash takes the SHA-256 of an organisation's key.
func (c *cursor) keyHash() string {
	const allowed = "the SHA-256 of the key, 64 hexadecimal digits"
	text, ok := c.nextWord(allowed)
	if !ok {
		return ""
	}
	if raw, err := hex.DecodeString(text); err != nil || len(raw) != keyBytes {
		c.reject(allowed)
	}
	return text
}

func (b *builder) parseKind(c *cursor, s Source) {
	k := Kind{Source: s, Name: c.name("a kind's name"), Share: maxPercent, Retention: defaultRetention}
	for !c.atEnd() {
		c.kindOption(&k)
	}
	if !c.failed && k.Budget == 0 && !k.Refused {
		b.fault(c.line, c.end, "the end of the rule", "budget and a number of tokens, or refuse")
		return
	}
	if b.addRule(c, "kind "+k.Name, k) {
		b.rules.kinds[k.Name] = k
	}
}

// kindOption takes one option of a kind rule, with its value, and sets it in k.
func (c *cursor) kindOption(k *Kind) {
	switch c.choose("rank", "share", "within", "budget", "calls", "wall", "keep", "refuse") {
	case "rank":
		k.Rank, _ = descriptor.ParseRank(c.choose("ordinary", "urgent"))
	case "share":
		k.Share = int(c.integer(1, maxPercent))
	case "within":
		k.Within = c.duration()
	case "budget":
		k.Budget = c.integer(1, maxBudget)
	case "calls":
		k.Calls = c.integer(1, maxCalls)
	case "wall":
		k.MaxDuration = c.duration()
	case "keep":
		k.Retention = c.duration()
	case "refuse":
		k.Refused = true
	}
}

func (b *builder) parseService(c *cursor, s Source) {
	v := Service{Source: s, Name: c.name("a service's name")}
	v.Once = c.choose("once", "idempotent") == "once"
	if !c.atEnd() {
		v.Fenced = c.choose("fenced") == "fenced"
	}
	c.expectEnd()
	if b.addRule(c, "service "+v.Name, v) {
		b.rules.services[v.Name] = v
	}
}

func (b *builder) parseFloor(c *cursor, s Source) {
	f := Floor{Source: s}
	c.choose("ordinary")
	if !c.failed {
		f.Percent = int(c.integer(0, maxPercent))
	}
	c.expectEnd()
	if b.addRule(c, "floor ordinary", f) {
		b.rules.floor = f
	}
}

func (b *builder) parseLimit(c *cursor, s Source) {
	l := Limit{Source: s, Organisation: c.name("an organisation's name")}
	for !c.atEnd() {
		switch c.choose("rate", "running") {
		case "rate":
			l.Rate = int(c.integer(1, maxRate))
		case "running":
			l.Running = int(c.integer(1, maxRate))
		}
	}
	if b.addRule(c, "limit "+l.Organisation, l) {
		b.rules.limits[l.Organisation] = l
	}
}

func (b *builder) parseClock(c *cursor, s Source) {
	const allowed = "a time zone such as Asia/Kolkata or Europe/London"
	text, ok := c.nextWord(allowed)
	if !ok {
		return
	}
	location, err := time.LoadLocation(text)
	if err != nil {
		c.reject(allowed)
	}
	c.expectEnd()
	r := Clock{Source: s, Location: location}
	if b.addRule(c, "clock", r) {
		b.rules.clock = r
	}
}

// expectEnd records a fault if any word is left.
func (c *cursor) expectEnd() {
	if c.atEnd() {
		return
	}
	c.name("")
	c.reject("the end of the rule")
}

// checkLimits records a fault for each limit whose organisation the file does not
// admit. It runs after the last line, because a limit may precede its organisation.
func (b *builder) checkLimits() {
	names := make(map[string]bool)
	for _, o := range b.rules.organisations {
		names[o.Name] = true
	}
	for _, l := range b.rules.limits {
		if !names[l.Organisation] {
			b.fault(l.Line, 1, "a limit for "+l.Organisation, "an organisation that the file admits")
		}
	}
}
