package citronpier

import (
	"context"
	"log"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/navigator"
	"github.com/citronpier/citronpier/relayer"
)

// peerClient calls one other host.
type peerClient struct {
	messenger.Ledger
	messenger.Mirror
}

// Find looks for a turn at the host.
func (p peerClient) Find(ctx context.Context, r *messenger.FindRequest) (*messenger.FindReply, error) {
	return p.Mirror.Find(ctx, r)
}

// peerClients holds the clients of other hosts. dial has to be set.
type peerClients struct {
	dial connector.Dial

	mu      sync.Mutex
	http    *http.Client
	clients map[string]peerClient
}

const (
	// peerConnections is the most idle connections to one other host.
	peerConnections = 16
	// peerIdle is how long they are kept.
	peerIdle = 20 * time.Second
)

// get returns the client of the host at a peer address.
func (p *peerClients) get(address string) peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	if p.http == nil {
		p.http = &http.Client{Transport: &http.Transport{
			DialContext:         p.dial,
			MaxIdleConnsPerHost: peerConnections,
			IdleConnTimeout:     peerIdle,
			DisableCompression:  true,
		}}
		p.clients = make(map[string]peerClient)
	}
	url := "http://" + address
	c := peerClient{
		Ledger: messenger.NewLedgerProtobufClient(url, p.http),
		Mirror: messenger.NewMirrorProtobufClient(url, p.http),
	}
	p.clients[address] = c
	return c
}

// close closes the idle connections.
func (p *peerClients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.http != nil {
		p.http.CloseIdleConnections()
	}
}

// localHome is this host as a home.
type localHome struct{ keeper *keeper.Keeper }

func (l localHome) Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error) {
	return l.keeper.Begin(ctx, r, time.Now()), nil
}

func (l localHome) End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error) {
	return l.keeper.End(ctx, r, time.Now())
}

func (l localHome) Find(ctx context.Context, r *messenger.FindRequest) (*messenger.FindReply, error) {
	return l.keeper.Find(ctx, r, time.Now()), nil
}

// home returns a host as a home.
func (e *Entry) home(h descriptor.Host) navigator.Home {
	if h.ID == e.config.Host.ID {
		return localHome{e.keeper}
	}
	return e.peers.get(h.Peer)
}

// ledger and mirror serve other hosts.
type ledger struct {
	localHome
	relayer.Server
}

type mirror struct {
	localHome
	relayer.Server
}

// PeerHandler returns the handler of the peer address.
func (e *Entry) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	home, relay := localHome{e.keeper}, relayer.Server{Direct: e.config.Store}
	ledgers := messenger.NewLedgerServer(ledger{home, relay})
	mirrors := messenger.NewMirrorServer(mirror{home, relay})
	mux.Handle(ledgers.PathPrefix(), ledgers)
	mux.Handle(mirrors.PathPrefix(), mirrors)
	return mux
}

// MetricsHandler returns the handler of the metrics address.
func (e *Entry) MetricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		if err := e.counters.Write(w); err != nil {
			e.config.Logger.Debug().Err(err).Msg("metrics not written")
		}
	})
	e.serveStatus(mux)
	return mux
}

// relays returns the hosts that reach the store, those in the own data centre
// first.
func (e *Entry) relays(now time.Time) []relayer.Relay {
	var near, far []relayer.Relay
	for _, b := range e.gossiper.Table().Live(now) {
		if !b.GetStored() {
			continue
		}
		c := e.peers.get(b.GetAddress())
		r := relayer.Relay{Address: b.GetAddress(), Ledger: c.Ledger, Mirror: c.Mirror}
		if b.GetDatacentre() == e.config.Host.DataCentre {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	return append(near, far...)
}

// newErrorLog returns a log for net/http that writes to a logger.
func newErrorLog(l zerolog.Logger) *log.Logger {
	return log.New(l.Level(zerolog.DebugLevel), "", 0)
}

var _ connector.Store = (*relayer.Relayer)(nil)
