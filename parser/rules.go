package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Rules holds the rules of a valid rule file. It is immutable. The zero value
// admits no organisation.
type Rules struct {
	// Version is the offset of the file's record in the log plus 1. It is 0 for rules
	// that were not published.
	Version int64
	// Text is the unchanged text of the file.
	Text string
	// List holds the rules in the file's order.
	List []Rule

	// organisations is indexed by key hash; the other maps are indexed by name.
	organisations map[string]Organisation
	kinds         map[string]Kind
	services      map[string]Service
	limits        map[string]Limit
	floor         Floor
	clock         Clock
}

// DefaultKind is the name of the kind rule for programs that state no kind.
const DefaultKind = "default"

// WithVersion returns a copy of the rules with the version set.
func (r Rules) WithVersion(version int64) Rules {
	r.Version = version
	return r
}

// Organisation returns the organisation with the given key. The key is in plain
// text, as callers send it.
func (r Rules) Organisation(key string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	o, ok := r.organisations[hex.EncodeToString(sum[:])]
	return o, ok
}

// Weight returns an organisation's weight among programs of the same rank. It is 1
// for an organisation that the rules don't name.
func (r Rules) Weight(organisation string) int {
	for _, o := range r.organisations {
		if o.Name == organisation {
			return o.Weight
		}
	}
	return 1
}

// Kind returns the rule for a program kind. The empty name stands for DefaultKind.
func (r Rules) Kind(name string) (Kind, bool) {
	if name == "" {
		name = DefaultKind
	}
	k, ok := r.kinds[name]
	return k, ok
}

// Service returns the rule for calls to a plain service.
func (r Rules) Service(name string) (Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// Limit returns the limit of an organisation, if there is one.
func (r Rules) Limit(organisation string) (Limit, bool) {
	l, ok := r.limits[organisation]
	return l, ok
}

// Floor returns the percentage of the capacity that is guaranteed to programs of
// ordinary rank. It is 0 without a floor rule.
func (r Rules) Floor() int { return r.floor.Percent }

// Location returns the time zone of the clock rule, or UTC without a clock rule.
func (r Rules) Location() *time.Location {
	if r.clock.Location == nil {
		return time.UTC
	}
	return r.clock.Location
}
