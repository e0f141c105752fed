package parser

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

const (
	maxWeight  = 1000
	maxBudget  = 1 << 40
	maxCalls   = 1 << 20
	maxRate    = 1 << 20
	maxPercent = 100
	keyBytes   = 32
	// defaultKeep is how long a program may pause where its rule says nothing.
	defaultKeep = 2 * time.Minute
)

// builder collects the rules and the mistakes of a file.
type builder struct {
	rules  Rules
	faults Faults
	// seen holds the line of each rule by its subject.
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

func (b *builder) fault(line, column int, met, allowed string) {
	b.faults = append(b.faults, Fault{Line: line, Column: column, Met: met, Allowed: allowed})
}

func (b *builder) statement(c *cursor, s Source) {
	switch c.choose("organisation", "kind", "service", "floor", "limit", "clock") {
	case "organisation":
		b.organisation(c, s)
	case "kind":
		b.kind(c, s)
	case "service":
		b.service(c, s)
	case "floor":
		b.floor(c, s)
	case "limit":
		b.limit(c, s)
	case "clock":
		b.clock(c, s)
	}
}

// add records a rule once its line is whole and its subject is new.
func (b *builder) add(c *cursor, subject string, r Rule) bool {
	if c.failed {
		return false
	}
	if first, twice := b.seen[subject]; twice {
		b.fault(c.line, 1, "a second rule for "+subject,
			fmt.Sprintf("one rule; the first stands on line %d", first))
		return false
	}
	b.seen[subject] = c.line
	b.rules.List = append(b.rules.List, r)
	return true
}

func (b *builder) organisation(c *cursor, s Source) {
	o := Organisation{Source: s, Name: c.name("an organisation's name"), Weight: 1}
	for !c.done() {
		switch c.choose("key", "weight") {
		case "key":
			o.Key = c.hash()
		case "weight":
			o.Weight = int(c.integer(1, maxWeight))
		}
	}
	if !c.failed && o.Key == "" {
		b.fault(c.line, c.end, "the end of the rule", "key and the SHA-256 of the key in hexadecimal")
		return
	}
	if b.add(c, "organisation "+o.Name, o) {
		b.rules.organisations[o.Key] = o
	}
}

func (c *cursor) hash() string {
	const allowed = "the SHA-256 of the key, 64 hexadecimal digits"
	text, ok := c.take(allowed)
	if !ok {
		return ""
	}
	if raw, err := hex.DecodeString(text); err != nil || len(raw) != keyBytes {
		c.reject(allowed)
	}
	return text
}

func (b *builder) kind(c *cursor, s Source) {
	k := Kind{Source: s, Name: c.name("a kind's name"), Share: maxPercent, Keep: defaultKeep}
	for !c.done() {
		c.kindOption(&k)
	}
	if !c.failed && k.Budget == 0 && !k.Refused {
		b.fault(c.line, c.end, "the end of the rule", "budget and a number of tokens, or refuse")
		return
	}
	if b.add(c, "kind "+k.Name, k) {
		b.rules.kinds[k.Name] = k
	}
}

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
		k.Wall = c.duration()
	case "keep":
		k.Keep = c.duration()
	case "refuse":
		k.Refused = true
	}
}

func (b *builder) service(c *cursor, s Source) {
	v := Service{Source: s, Name: c.name("a service's name")}
	v.Once = c.choose("once", "idempotent") == "once"
	if !c.done() {
		v.Fenced = c.choose("fenced") == "fenced"
	}
	c.expectEnd()
	if b.add(c, "service "+v.Name, v) {
		b.rules.services[v.Name] = v
	}
}

func (b *builder) floor(c *cursor, s Source) {
	f := Floor{Source: s}
	c.choose("ordinary")
	if !c.failed {
		f.Percent = int(c.integer(0, maxPercent))
	}
	c.expectEnd()
	if b.add(c, "floor ordinary", f) {
		b.rules.floor = f
	}
}

func (b *builder) limit(c *cursor, s Source) {
	l := Limit{Source: s, Organisation: c.name("an organisation's name")}
	for !c.done() {
		switch c.choose("rate", "running") {
		case "rate":
			l.Rate = int(c.integer(1, maxRate))
		case "running":
			l.Running = int(c.integer(1, maxRate))
		}
	}
	if b.add(c, "limit "+l.Organisation, l) {
		b.rules.limits[l.Organisation] = l
	}
}

func (b *builder) clock(c *cursor, s Source) {
	const allowed = "a time zone such as Asia/Kolkata or Europe/London"
	text, ok := c.take(allowed)
	if !ok {
		return
	}
	location, err := time.LoadLocation(text)
	if err != nil {
		c.reject(allowed)
	}
	c.expectEnd()
	r := Clock{Source: s, Location: location}
	if b.add(c, "clock", r) {
		b.rules.clock = r
	}
}

func (c *cursor) expectEnd() {
	if c.done() {
		return
	}
	c.name("")
	c.reject("the end of the rule")
}

// finish checks what can only be seen in the whole file.
func (b *builder) finish() {
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
