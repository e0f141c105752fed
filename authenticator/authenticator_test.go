package authenticator_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/authenticator"
	"github.com/citronpier/citronpier/descriptor"
)

// policy bounds the age of the configuration as a deployment with strict revocation does.
var policy = authenticator.Policy{Revocation: 5 * time.Second, Unknown: 3 * time.Second}

// keys returns organisations with the key "known" of the organisation "o".
func keys() descriptor.Organisations {
	var b descriptor.OrganisationBuilder
	b.Require()
	b.Add(descriptor.Organisation{Name: "o"})
	b.AddKey("o", "known")
	return b.Build()
}

// TestAuthenticate guards against keys that are accepted although they may be revoked, and
// against keys that are rejected for good although they may have been added since.
func TestAuthenticate(t *testing.T) {
	t.Parallel()
	accepted := authenticator.Accepted{Organisation: descriptor.Organisation{Name: "o"}}
	var required descriptor.OrganisationBuilder
	required.Require()
	noKeys := required.Build()
	for _, c := range []struct {
		name          string
		policy        authenticator.Policy
		organisations descriptor.Organisations
		open          bool
		key           string
		age           time.Duration
		want          authenticator.Verdict
	}{
		{"known", policy, keys(), false, "known", time.Second, accepted},
		{"known at the bound", policy, keys(), false, "known", 5 * time.Second, accepted},
		{"known beyond the bound", policy, keys(), false, "known", 5*time.Second + 1, authenticator.Stale{Age: 5*time.Second + 1}},
		{"known without a bound", authenticator.Policy{}, keys(), false, "known", time.Hour, accepted},
		{"unknown", policy, keys(), false, "other", time.Second, authenticator.Unknown{}},
		{"unknown in an old configuration", policy, keys(), false, "other", 4 * time.Second, authenticator.Stale{Age: 4 * time.Second}},
		{"unknown without a bound", authenticator.Policy{}, keys(), false, "other", time.Hour, authenticator.Unknown{}},
		{"no key", policy, keys(), false, "", time.Second, authenticator.Unknown{}},
		{"no key in an old configuration", policy, keys(), false, "", 4 * time.Second, authenticator.Unknown{}},
		{"open route", policy, keys(), true, "other", time.Hour, authenticator.Accepted{}},
		{"open route with a key", policy, keys(), true, "known", 0, authenticator.Accepted{}},
		{"no organisations", policy, descriptor.Organisations{}, false, "other", time.Hour, authenticator.Accepted{}},
		{"only unreadable organisations", policy, noKeys, false, "known", 0, authenticator.Unknown{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got := c.policy.Authenticate(descriptor.Configuration{Organisations: c.organisations}, descriptor.Route{Open: c.open},
				descriptor.NewKeyDigest(c.key), c.age)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}
