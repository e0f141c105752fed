package citronpier

import (
	"cmp"
	"expvar"
	"math"
	"slices"
	"time"
)

// OrganisationStatus is the allowance of an organisation as an entry host knows it.
type OrganisationStatus struct {
	Organisation string `json:"organisation"`
	// Keys are the short digests of the organisation's keys, as in the log.
	Keys []string `json:"keys"`
	// PerSecond and Burst are the allowance; 0 requests a second means no limit.
	PerSecond float64 `json:"rate_per_s"`
	Burst     float64 `json:"burst"`
	// Held is the number of unspent credits on this host, and AgeMS how long ago the home has
	// answered, in milliseconds; -1 if it never did.
	Held  int   `json:"held"`
	AgeMS int64 `json:"age_ms"`
	// Taken, Exceeded and Unreached count the requests that got a credit, those refused for the
	// limit, and those refused as no home was reached.
	Taken     int64 `json:"taken"`
	Exceeded  int64 `json:"exceeded"`
	Unreached int64 `json:"unreached"`
	// Home is the bucket, if this host has been asked as home of the organisation.
	Home *AllowanceStatus `json:"home,omitempty"`
}

// AllowanceStatus is the bucket of an organisation at its home.
type AllowanceStatus struct {
	// Level is the number of credits in the bucket, and Held that of unspent credits on hosts.
	Level float64 `json:"level"`
	Held  int     `json:"held"`
	// Mean is the learned number of requests of a program.
	Mean float64 `json:"requests_per_program"`
	// Reduced is true while the host grants less than the full rate, because the other hosts
	// may have another home.
	Reduced bool `json:"reduced"`
}

// status returns the organisations of the configuration by name.
func (a *allowances) status() []OrganisationStatus {
	organisations := a.config.Organisations()
	keys := organisations.KeyDigests()
	a.mu.Lock()
	defer a.mu.Unlock()
	up := a.config.Uptime()
	var statuses []OrganisationStatus
	for name, o := range organisations.All() {
		slices.Sort(keys[name])
		s := OrganisationStatus{Organisation: name, Keys: keys[name], PerSecond: o.PerSecond, Burst: o.Burst, AgeMS: -1}
		if p, ok := a.pools[name]; ok {
			s.Held, s.Taken, s.Exceeded, s.Unreached = p.Held(up), p.taken, p.exceeded, p.unreached
			if p.Told() > 0 {
				s.AgeMS = (up - p.Told()).Milliseconds()
			}
		}
		s.Home = a.homeStatus(name, up)
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(x, y OrganisationStatus) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return statuses
}

// homeStatus returns the bucket of an organisation, or nil. The caller must hold mu.
func (a *allowances) homeStatus(name string, up time.Duration) *AllowanceStatus {
	h, ok := a.homes[name]
	if !ok || !h.Home() {
		return nil
	}
	const tenths = 10
	round := func(v float64) float64 { return math.Round(v*tenths) / tenths }
	return &AllowanceStatus{Level: round(h.Level()), Held: h.Held(up), Mean: round(h.Mean()), Reduced: h.Reduced()}
}

const (
	// labelledOrganisations is the number of organisations that have metrics of their own.
	labelledOrganisations = 10
	// otherOrganisations is the label of the others together.
	otherOrganisations = "(other)"
)

// metrics returns the figures of the organisations that send most, and those of the others
// together.
func (a *allowances) metrics() expvar.Var {
	statuses := a.status()
	slices.SortStableFunc(statuses, func(x, y OrganisationStatus) int {
		return cmp.Compare(y.Taken+y.Exceeded+y.Unreached, x.Taken+x.Exceeded+x.Unreached)
	})
	var all expvar.Map
	labelled := make(map[string]*expvar.Map)
	for i, s := range statuses {
		label := s.Organisation
		if i >= labelledOrganisations {
			label = otherOrganisations
		}
		if labelled[label] == nil {
			labelled[label] = new(expvar.Map)
			all.Set(label, labelled[label])
		}
		m := labelled[label]
		m.Add("taken", s.Taken)
		m.Add("exceeded", s.Exceeded)
		m.Add("unreached", s.Unreached)
		m.Add("held", int64(s.Held))
		if s.Home != nil {
			m.AddFloat("home_level", s.Home.Level)
			m.Add("home_held", int64(s.Home.Held))
		}
	}
	return &all
}
