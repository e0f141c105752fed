package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits are what hosts have for the requests of callers; 0 is unknown.
type Limits struct {
	// BodyMemory is the memory in bytes that the bodies of callers take at most on the
	// smallest host.
	BodyMemory int64
}

// Check returns the mistakes in a document in the order of their places.
func Check(d Document, l Limits) []Finding {
	findings := slices.Clone(d.Malformed)
	findings = append(findings, checkRoutes(d)...)
	findings = append(findings, checkServices(d)...)
	findings = append(findings, checkOrganisations(d)...)
	if l.BodyMemory > 0 && d.Body > l.BodyMemory {
		findings = append(findings, Finding{
			Entry:  "limits",
			Detail: fmt.Sprintf("a body of %d bytes exceeds the %d bytes of memory that a host has for bodies", d.Body, l.BodyMemory),
		})
	}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Place.Line, b.Place.Line), cmp.Compare(a.Place.Column, b.Place.Column))
	})
	return findings
}

func (e Entry) finding(kind, format string, values ...any) Finding {
	return Finding{Place: e.Place, Entry: kind + " " + e.Name, Detail: fmt.Sprintf(format, values...)}
}

// checkRoutes returns the mistakes in single routes and in their relations.
func checkRoutes(d Document) []Finding {
	var findings []Finding
	services := make(map[string]bool)
	for _, s := range d.Services {
		services[s.Name] = true
	}
	first := make(map[string]Route)
	names := make(map[string]bool)
	for _, r := range d.Routes {
		findings = append(findings, checkRoute(r, services)...)
		key := r.Host + " " + r.Prefix
		if earlier, ok := first[key]; ok {
			findings = append(findings, r.finding("route", "never matches: route %s at %s has the same host and prefix", earlier.Name, earlier.Place))
		} else {
			first[key] = r
		}
		if names[r.Name] {
			findings = append(findings, r.finding("route", "the name is used twice"))
		}
		names[r.Name] = true
	}
	return findings
}

// checkRoute returns the mistakes in one route.
func checkRoute(r Route, services map[string]bool) []Finding {
	var findings []Finding
	add := func(format string, values ...any) {
		findings = append(findings, r.finding("route", format, values...))
	}
	if r.Host == "" {
		add("never matches: it names no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("the prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Services) == 0 {
		add("no service has a weight above 0")
	}
	for _, s := range r.Services {
		if !services[s] {
			add("service %s does not exist", s)
		}
	}
	if r.Timeout <= 0 {
		add("the timeout is missing")
	}
	if r.Timeout > 0 && r.Timeout < r.Objective {
		add("the timeout of %s is below the objective of %s", r.Timeout, r.Objective)
	}
	if r.Attempts < 1 {
		add("attempts are below 1")
	}
	return findings
}

// checkServices returns the services that no route leads to and those that are named twice.
func checkServices(d Document) []Finding {
	used := make(map[string]bool)
	for _, r := range d.Routes {
		for _, s := range r.Services {
			used[s] = true
		}
	}
	var findings []Finding
	seen := make(map[string]bool)
	for _, s := range d.Services {
		if seen[s.Name] {
			findings = append(findings, s.finding("service", "the name is used twice"))
		}
		seen[s.Name] = true
		if !used[s.Name] {
			findings = append(findings, s.finding("service", "no route leads to it"))
		}
	}
	return findings
}

// minBurstTime is the time of its rate that an organisation must be able to save up, so that
// requests which come together within its rate are not refused.
const minBurstTime = 200 * time.Millisecond

// checkOrganisations returns the mistakes in organisations.
func checkOrganisations(d Document) []Finding {
	var findings []Finding
	holders, names := make(map[string]string), make(map[string]bool)
	for _, o := range d.Organisations {
		add := func(format string, values ...any) {
			findings = append(findings, o.finding("organisation", format, values...))
		}
		if names[o.Name] {
			add("the name is used twice")
		}
		names[o.Name] = true
		if len(o.Keys) == 0 {
			add("it has no key: none of its requests is accepted")
		}
		for _, k := range o.Keys {
			if holder, ok := holders[k]; ok {
				add("key %s is also a key of organisation %s, and neither may use it", k, holder)
				continue
			}
			holders[k] = o.Name
		}
		if o.PerSecond < 0 || o.Burst < 0 {
			add("the allowance is negative")
		}
		if o.PerSecond == 0 && o.Burst > 0 {
			add("a burst without a rate limits nothing")
		}
		if o.PerSecond > 0 && o.Burst < 1 && o.PerSecond*minBurstTime.Seconds() >= 1 {
			add("the burst of %g is below one request", o.Burst)
		}
	}
	return findings
}
