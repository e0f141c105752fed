package citronpier

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/server"
)

// EntryStatus is the state of an entry host and its view of the other hosts and
// the upstreams. It is the response to GET /status at the metrics address.
type EntryStatus struct {
	Host        descriptor.Host `json:"host"`
	Incarnation string          `json:"incarnation"`
	// Ready is true if the host accepts requests. Leaving is true once a planned
	// stop has begun.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Configuration is the version of the configuration in force; 0 means that
	// there is none.
	Configuration int64 `json:"configuration"`
	// ConfigurationAge is how long ago the configuration was known to be the newest, in
	// milliseconds.
	ConfigurationAge int64 `json:"configuration_age_ms"`
	// StoreReachable is true if the store has answered this host recently.
	StoreReachable bool `json:"stored"`
	// Active is the number of requests being served.
	Active    int64            `json:"active"`
	Shards    []keeper.Status  `json:"shards"`
	Hosts     []PeerStatus     `json:"hosts"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	// Organisations are those of the configuration.
	Organisations []OrganisationStatus `json:"organisations,omitempty"`
}

// PeerStatus is the state of another host, as far as this host knows it.
type PeerStatus struct {
	Host    string `json:"host"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Configuration is the version that the host had when it last sent this host a
	// datagram.
	Configuration  int64 `json:"configuration"`
	StoreReachable bool  `json:"stored"`
	// Suspected is true if the host did not answer probes and may still refute that it
	// is dead.
	Suspected bool `json:"suspected"`
}

// UpstreamStatus is the state of an upstream as this host and the load reports of
// other hosts describe it.
type UpstreamStatus struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Leaving  bool   `json:"leaving"`
	// Running is the number of requests in flight from this host and all other
	// live hosts.
	Running int `json:"running"`
	// Failing is the share of requests that fail, from 0 to 1. It is the mean
	// over the hosts that saw failures. Slowdown is the duration of a request
	// relative to the service's average. It is the mean over the hosts that
	// report a slowdown; 0 means that no host reports a slowdown.
	Failing  float64 `json:"failing"`
	Slowdown float64 `json:"stretch"`
}

// Status returns the state of the host and its view of other hosts and
// upstreams.
func (e *Entry) Status(now time.Time) EntryStatus {
	return EntryStatus{
		Host:             e.config.Host,
		Incarnation:      e.incarnation,
		Ready:            e.Ready(),
		Leaving:          e.Stopping(),
		Configuration:    e.watcher.Configuration().Version,
		ConfigurationAge: e.watcher.ConfigurationAge().Milliseconds(),
		StoreReachable:   e.relayer.ReachesDirectly(now),
		Active:           e.active.Load(),
		Shards:           e.keeper.Status(),
		Hosts:            e.peerStatuses(),
		Upstreams:        e.upstreamStatuses(now),
		Organisations:    e.allowances.status(),
	}
}

func (e *Entry) peerStatuses() []PeerStatus {
	var peers []PeerStatus
	for _, m := range e.gossiper.Table().Live() {
		peers = append(peers, PeerStatus{
			Host: m.GetAddress(), Ready: m.GetReady(), Leaving: m.GetLeaving(), StoreReachable: m.GetStored(),
			Configuration: e.gossiper.ConfigOf(m.GetAddress()),
			Suspected:     m.GetStatus() == messenger.Status_SUSPECT,
		})
	}
	return peers
}

func (e *Entry) upstreamStatuses(now time.Time) []UpstreamStatus {
	list, _ := e.watcher.List()
	own, remote := e.tracker.Loads(now), e.remoteLoads(now)
	var upstreams []UpstreamStatus
	for _, u := range list.All() {
		hash := xxhash.Sum64String(u.ID)
		l := own[hash].With(remote[hash])
		upstreams = append(upstreams, UpstreamStatus{
			Upstream: u.ID, Service: u.Service, Leaving: u.Leaving, Running: l.InFlight,
			Failing: l.MeanFailureRate(), Slowdown: l.MeanSlowdown(),
		})
	}
	slices.SortFunc(upstreams, func(a, b UpstreamStatus) int {
		return strings.Compare(a.Service+" "+a.Upstream, b.Service+" "+b.Upstream)
	})
	return upstreams
}

// serveStatus adds the handlers of GET /status and GET /v1/hosts.
func (e *Entry) serveStatus(mux *http.ServeMux) {
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { e.reply(w, e.Status(time.Now())) })
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		e.reply(w, server.HostList{Hosts: e.callers(now).Live(now), TTL: int(directoryTTL.Seconds())})
	})
}

func (e *Entry) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		e.config.Logger.Debug().Err(err).Msg("status was not sent")
	}
}
