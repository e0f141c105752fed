package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Rules is an accepted rule file. It is immutable; its zero value admits no one.
type Rules struct {
	// Version is the log offset at which the file was published.
	Version int64
	// Text is the file as written.
	Text string
	// List holds the rules in the file's order.
	List []Rule

	organisations map[string]Organisation
	kinds         map[string]Kind
	services      map[string]Service
	limits        map[string]Limit
	floor         Floor
	clock         Clock
}

// DefaultKind is the kind of programs that name none.
const DefaultKind = "default"

// WithVersion returns the rules as published at a log offset.
func (r Rules) WithVersion(version int64) Rules {
	r.Version = version
	return r
}

// Organisation returns the organisation that a key belongs to.
func (r Rules) Organisation(key string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	o, ok := r.organisations[hex.EncodeToString(sum[:])]
	return o, ok
}

// Weight returns an organisation's share within a rank.
func (r Rules) Weight(organisation string) int {
	for _, o := range r.organisations {
		if o.Name == organisation {
			return o.Weight
		}
	}
	return 1
}

// Kind returns the rule of a program kind.
func (r Rules) Kind(name string) (Kind, bool) {
	if name == "" {
		name = DefaultKind
	}
	k, ok := r.kinds[name]
	return k, ok
}

// Service returns the rule of a plain service.
func (r Rules) Service(name string) (Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// Limit returns the limit of an organisation, if any.
func (r Rules) Limit(organisation string) (Limit, bool) {
	l, ok := r.limits[organisation]
	return l, ok
}

// Floor returns the percentage that ordinary work keeps.
func (r Rules) Floor() int { return r.floor.Percent }

// Location returns the time zone in which days end.
func (r Rules) Location() *time.Location {
	if r.clock.Location == nil {
		return time.UTC
	}
	return r.clock.Location
}
