package descriptor

import "crypto/sha256"

// Organisation is a customer of the operator whose callers share keys and an allowance. The
// zero value is no organisation.
type Organisation struct {
	Name string
	// Urgency is the priority of the organisation's requests, which takes precedence over
	// that of the route. It is nil if the organisation has none.
	Urgency *int
	// PerSecond and Burst are the organisation's allowance: the requests a second that all
	// hosts together send for it, and how many it may save up. There is no limit if PerSecond
	// is 0.
	PerSecond float64
	Burst     float64
}

// KeyDigest is the SHA-256 digest of a key. The zero value is no key.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of a key, and the zero value for an empty key.
func NewKeyDigest(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// shortDigestBytes is the part of a digest that logs show.
const shortDigestBytes = 4

// Short returns the beginning of the digest for logs.
func (d KeyDigest) Short() string {
	const digits = "0123456789abcdef"
	short := make([]byte, 0, 2*shortDigestBytes)
	for _, b := range d[:shortDigestBytes] {
		short = append(short, digits[b>>4], digits[b&0xf])
	}
	return string(short)
}

// Organisations are the organisations of a configuration and their keys. The zero value
// has none: requests need no key then.
type Organisations struct {
	// required is true if requests need a key, even if no key could be read.
	required bool
	byName   map[string]Organisation
	byKey    map[KeyDigest]string
}

// Required reports whether requests need a key.
func (o Organisations) Required() bool { return o.required }

// Organisation returns the organisation with a name.
func (o Organisations) Organisation(name string) (Organisation, bool) {
	organisation, ok := o.byName[name]
	return organisation, ok
}

// Holder returns the organisation that holds a key.
func (o Organisations) Holder(key KeyDigest) (Organisation, bool) {
	name, ok := o.byKey[key]
	if !ok {
		return Organisation{}, false
	}
	return o.byName[name], true
}

// All returns the organisations by name. Callers must not modify the map.
func (o Organisations) All() map[string]Organisation { return o.byName }

// KeyDigests returns the short digests of the keys of all organisations, by name.
func (o Organisations) KeyDigests() map[string][]string {
	digests := make(map[string][]string, len(o.byName))
	for digest, holder := range o.byKey {
		digests[holder] = append(digests[holder], digest.Short())
	}
	return digests
}

// OrganisationBuilder collects the organisations of a configuration. The zero value is empty.
type OrganisationBuilder struct{ organisations Organisations }

// Require makes requests need a key, also if no organisation is added.
func (b *OrganisationBuilder) Require() { b.organisations.required = true }

// Add adds an organisation.
func (b *OrganisationBuilder) Add(o Organisation) {
	if b.organisations.byName == nil {
		b.organisations.byName = make(map[string]Organisation)
		b.organisations.byKey = make(map[KeyDigest]string)
	}
	b.organisations.byName[o.Name] = o
}

// AddKey adds a key of an organisation that was added before. It returns the organisation that
// holds the key already, and false, if that is another one.
func (b *OrganisationBuilder) AddKey(organisation, key string) (holder string, added bool) {
	digest := NewKeyDigest(key)
	if holder, ok := b.organisations.byKey[digest]; ok && holder != organisation {
		return holder, false
	}
	b.organisations.byKey[digest] = organisation
	return organisation, true
}

// RemoveKey removes a key.
func (b *OrganisationBuilder) RemoveKey(key string) { delete(b.organisations.byKey, NewKeyDigest(key)) }

// Build returns the organisations. The builder must not be used afterwards.
func (b *OrganisationBuilder) Build() Organisations { return b.organisations }
