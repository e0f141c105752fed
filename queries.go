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

// queries is what the host says about itself.
type queries Host

// Hosts returns the hosts that a caller should use, in order. Without a route
// the order starts at this host and goes on over the other data centres.
func (q *queries) Hosts(route string) []descriptor.Host {
	view := q.members.view()
	now := q.settings.clock()
	if q.leaving.Load() && !q.members.unnamed(now) {
		// A new home has to know whom to ask for its programs.
		view = view.WithHost(q.settings.self)
	}
	if route == "" {
		route = "callers/" + q.settings.self.ID
	}
	return view.Ranked(route, now)
}

// Rules returns the rules in force.
func (q *queries) Rules() parser.Rules { return q.publisher.Rules() }

// History returns the publications read so far.
func (q *queries) History() []publisher.Publication { return q.publisher.History() }

// Models returns the models that upstreams serve.
func (q *queries) Models() []string {
	names := make(map[string]bool)
	for _, u := range q.members.view().Members().Upstreams {
		for _, m := range u.Models {
			names[m] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Page returns the owner's page of today.
func (q *queries) Page() (page reporter.Page) {
	now := q.settings.wall()
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

// Status returns the state of the host.
func (q *queries) Status() server.Status {
	now := q.settings.clock()
	log := q.state.Status()
	return server.Status{
		Host:        q.settings.self.WithLeaving(q.leaving.Load()),
		Incarnation: q.incarnation,
		Ready:       !q.leaving.Load() && q.publisher.Rules().Version > 0,
		Rules:       q.publisher.Rules().Version,
		Log:         log.Next,
		Age:         now.Sub(log.Read).Milliseconds(),
		Programs:    q.coordinator.Programs(),
		Hosts:       len(q.members.view().Live(now)),
	}
}

// Metrics writes the host's metrics.
func (q *queries) Metrics(w io.Writer) error { return q.counters.Write(w) }

// peerQueries is what the host says to other hosts.
type peerQueries Host

// Loads lists the load of each upstream that the host is home for.
func (q *peerQueries) Loads(context.Context, *messenger.LoadsRequest) (*messenger.LoadsReply, error) {
	return &messenger.LoadsReply{Loads: q.dispatcher.Loads()}, nil
}

// Rules gives the rule file in force.
func (q *peerQueries) Rules(context.Context, *messenger.RulesRequest) (*messenger.RulesReply, error) {
	rules := q.publisher.Rules()
	return &messenger.RulesReply{Version: rules.Version, Text: rules.Text}, nil
}
