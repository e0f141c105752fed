package citronpier

import (
	"context"
	"io"
	"maps"
	"slices"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/replayer"
	"github.com/citronpier/citronpier/reporter"
	"github.com/citronpier/citronpier/server"
)

// queries implements server.Queries: it answers the queries of callers and
// operators about this host.
type queries Host

// Hosts returns the hosts that a caller should use, in the order in which to try
// them. For a route, the first host is the home of the route. Without a route the
// order depends on this host's ID, so that callers spread over the hosts.
func (q *queries) Hosts(route string) []descriptor.Host {
	view := q.members.view()
	now := q.settings.clock()
	if q.leaving.Load() && !q.members.leavingKnown(now) {
		// Until all hosts know that this host is leaving, a new home would not ask this
		// host for the programs that this host holds. Therefore callers must still send
		// their calls to this host.
		view = view.WithHost(q.settings.self)
	}
	if route == "" {
		route = "callers/" + q.settings.self.ID
	}
	return view.Ranked(route, now)
}

// Rules returns the rules in force.
func (q *queries) Rules() parser.Rules { return q.publisher.Rules() }

// History returns the rule files published so far, accepted or not, oldest
// first.
func (q *queries) History() []publisher.Publication { return q.publisher.History() }

// Models returns the names of the models that upstreams serve, sorted.
func (q *queries) Models() []string {
	names := make(map[string]bool)
	for _, u := range q.members.view().Members().Upstreams {
		for _, m := range u.Models {
			names[m] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Page returns today's report for the owner of the deployment. It includes what
// this host has counted since its last summary.
func (q *queries) Page() (page reporter.Page) {
	now := q.settings.wallClock()
	pending := q.reporter.Peek(q.settings.self.ID, now)
	clock := q.settings.clock()
	q.state.View(func(s replayer.Status) {
		page = reporter.Make(reporter.Input{
			Ledger:  &q.summaries,
			Rules:   q.publisher.Rules(),
			Pending: pending,
			LogAge:  clock.Sub(s.Read),
		}, now)
	})
	return page
}

// Status returns the host's state as operators see it.
func (q *queries) Status() server.Status {
	now := q.settings.clock()
	log := q.state.Status()
	return server.Status{
		Host:        q.settings.self.WithLeaving(q.leaving.Load()),
		Incarnation: q.incarnation,
		Ready:       !q.leaving.Load() && q.publisher.Rules().Version > 0,
		Rules:       q.publisher.Rules().Version,
		LogOffset:   log.Next,
		LogAge:      now.Sub(log.Read).Milliseconds(),
		Programs:    q.coordinator.Programs(),
		Hosts:       len(q.members.view().Live(now)),
	}
}

// Metrics writes the host's counters as JSON.
func (q *queries) Metrics(w io.Writer) error { return q.counters.Write(w) }

// peerQueries implements messenger.Queries: it answers the queries of other hosts
// about this host.
type peerQueries Host

// Loads returns the load of each upstream that this host is home of.
func (q *peerQueries) Loads(context.Context, *messenger.LoadsRequest) (*messenger.LoadsReply, error) {
	return &messenger.LoadsReply{Loads: q.dispatcher.Loads()}, nil
}

// Rules returns the rule file in force on this host. Version 0 means none.
func (q *peerQueries) Rules(context.Context, *messenger.RulesRequest) (*messenger.RulesReply, error) {
	rules := q.publisher.Rules()
	return &messenger.RulesReply{Version: rules.Version, Text: rules.Text}, nil
}
