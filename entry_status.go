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

// EntryStatus is what an entry host believes, as its operators see it.
type EntryStatus struct {
	Host        descriptor.Host `json:"host"`
	Incarnation string          `json:"incarnation"`
	// Ready says that the host takes requests, Leaving that it stops.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Configuration is the version in force; 0 is none.
	Configuration int64 `json:"configuration"`
	// Stored says that the store answers this host.
	Stored bool `json:"stored"`
	// Active is the number of requests under way.
	Active    int64            `json:"active"`
	Shards    []keeper.Status  `json:"shards"`
	Hosts     []PeerStatus     `json:"hosts"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// PeerStatus is what is known of another host from its last heartbeat.
type PeerStatus struct {
	Host          string `json:"host"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	Configuration int64  `json:"configuration"`
	Stored        bool   `json:"stored"`
}

// UpstreamStatus is what is known of an upstream.
type UpstreamStatus struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Leaving  bool   `json:"leaving"`
	// Running is the requests under way from all hosts that are heard of.
	Running int `json:"running"`
	// Failing is the share of requests that fail, as far as any host found some,
	// and Stretch how many times longer than usual they take; 0 is not known.
	Failing float64 `json:"failing"`
	Stretch float64 `json:"stretch"`
}

// Status returns what the host believes.
func (e *Entry) Status(now time.Time) EntryStatus {
	return EntryStatus{
		Host:          e.config.Host,
		Incarnation:   e.incarnation,
		Ready:         e.Ready(),
		Leaving:       e.leaving.Load(),
		Configuration: e.watcher.Configuration().Version,
		Stored:        e.relayer.Reaches(now),
		Active:        e.active.Load(),
		Shards:        e.keeper.Status(),
		Hosts:         peerStatuses(e.gossiper.Table().Live(now)),
		Upstreams:     e.upstreamStatuses(now),
	}
}

func peerStatuses(beats []*messenger.Beat) []PeerStatus {
	var peers []PeerStatus
	for _, b := range beats {
		peers = append(peers, PeerStatus{
			Host: b.GetAddress(), Ready: b.GetReady(), Leaving: b.GetLeaving(), Configuration: b.GetConfig(), Stored: b.GetStored(),
		})
	}
	return peers
}

func (e *Entry) upstreamStatuses(now time.Time) []UpstreamStatus {
	list, _ := e.watcher.List()
	own, others := e.board.Loads(now), e.othersLoads(now)
	var upstreams []UpstreamStatus
	for _, u := range list.All() {
		hash := xxhash.Sum64String(u.ID)
		l := own[hash].With(others[hash])
		upstreams = append(upstreams, UpstreamStatus{
			Upstream: u.ID, Service: u.Service, Leaving: u.Leaving, Running: l.Running,
			Failing: l.MeanFailing(), Stretch: l.MeanStretch(),
		})
	}
	slices.SortFunc(upstreams, func(a, b UpstreamStatus) int {
		return strings.Compare(a.Service+" "+a.Upstream, b.Service+" "+b.Upstream)
	})
	return upstreams
}

// serveStatus answers operators.
func (e *Entry) serveStatus(mux *http.ServeMux) {
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { e.reply(w, e.Status(time.Now())) })
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		e.reply(w, server.HostList{Hosts: e.callers(now).Live(now), TTL: int(directoryKeep.Seconds())})
	})
}

func (e *Entry) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		e.config.Logger.Debug().Err(err).Msg("status not written")
	}
}
