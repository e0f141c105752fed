package citronpier

import (
	"context"
	"errors"
	"log"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/navigator"
	"github.com/citronpier/citronpier/relayer"
	"github.com/citronpier/citronpier/validator"
)

// peerClient sends requests to one other host.
type peerClient struct {
	messenger.Ledger
	messenger.Mirror
	allowances messenger.Allowances
}

// Find looks for a turn in the shards that the other host is home of.
func (p peerClient) Find(ctx context.Context, r *messenger.FindRequest) (*messenger.FindReply, error) {
	return p.Mirror.Find(ctx, r)
}

// peerClients creates and caches the clients of other hosts. dial and memory must be set
// before the first call of get.
type peerClients struct {
	dial connector.Dial
	// memory is what responses take their memory from; nil is no limit.
	memory *allocator.Pool

	mu      sync.Mutex
	http    *http.Client
	clients map[string]peerClient
}

const (
	// peerConnections bounds the idle connections to one other host.
	peerConnections = 16
	// peerIdleTimeout is how long an idle connection to another host is kept.
	peerIdleTimeout = 20 * time.Second
	// peerHeaderBytes is the maximum size of the header of a response of another host.
	peerHeaderBytes = 64 << 10
)

// get returns the client of the host at a peer address. All clients share one
// pool of connections.
func (p *peerClients) get(address string) peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	if p.http == nil {
		base := &http.Transport{
			DialContext:            validator.Dial(p.dial),
			MaxIdleConnsPerHost:    peerConnections,
			IdleConnTimeout:        peerIdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: peerHeaderBytes,
		}
		p.http = &http.Client{Transport: &allocator.Transport{Pool: p.memory, Base: &validator.Transport{Base: base}}}
		p.clients = make(map[string]peerClient)
	}
	url := "http://" + address
	c := peerClient{
		Ledger: messenger.NewLedgerProtobufClient(url, p.http),
		Mirror: messenger.NewMirrorProtobufClient(url, p.http),

		allowances: messenger.NewAllowancesProtobufClient(url, p.http),
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

// allowanceHome returns the client of another host that is home of organisations.
func (e *Entry) allowanceHome(h descriptor.Host) messenger.Allowances {
	return e.peers.get(h.Peer).allowances
}

// localHome implements navigator.Home for the shards that this host is home of:
// it calls the host's keeper directly.
type localHome struct{ keeper *keeper.Keeper }

func (l localHome) Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error) {
	return l.keeper.Begin(ctx, r, time.Now()), nil
}

func (l localHome) Bind(_ context.Context, r *messenger.BindRequest) (*messenger.BindReply, error) {
	return l.keeper.Bind(r, time.Now()), nil
}

// End returns an error with the code navigator.UnrecordableCode for a turn that no home can record.
func (l localHome) End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error) {
	reply, err := l.keeper.End(ctx, r, time.Now())
	var unrecordable *keeper.UnrecordableError
	if errors.As(err, &unrecordable) {
		return nil, twirp.NewError(navigator.UnrecordableCode, unrecordable.Cause.Error())
	}
	return reply, err
}

func (l localHome) Find(ctx context.Context, r *messenger.FindRequest) (*messenger.FindReply, error) {
	return l.keeper.Find(ctx, r, time.Now()), nil
}

// homeClient returns the client of a host that is home of shards. Calls to this
// host itself don't go over the network.
func (e *Entry) homeClient(h descriptor.Host) navigator.Home {
	if h.ID == e.config.Host.ID {
		return localHome{e.keeper}
	}
	return e.peers.get(h.Peer)
}

// ledgerServer implements messenger.Ledger for other hosts: it changes programs
// that this host is home of and relays appends to the store.
type ledgerServer struct {
	localHome
	relayer.Server
}

// mirrorServer implements messenger.Mirror for other hosts: it searches this
// host's shards and relays reads of the store.
type mirrorServer struct {
	localHome
	relayer.Server
}

// PeerHandler returns the HTTP handler for requests of other hosts, to be
// served at the peer address.
func (e *Entry) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	home, relay := localHome{e.keeper}, relayer.Server{Direct: e.config.Store, Followed: e.watcher.Followed}
	ledgers := messenger.NewLedgerServer(ledgerServer{home, relay})
	mirrors := messenger.NewMirrorServer(mirrorServer{home, relay})
	mux.Handle(ledgers.PathPrefix(), ledgers)
	mux.Handle(mirrors.PathPrefix(), mirrors)
	allowances := messenger.NewAllowancesServer(allowanceServer{e.allowances})
	mux.Handle(allowances.PathPrefix(), allowances)
	return mux
}

// MetricsHandler returns the HTTP handler for operators, to be served at the
// metrics address. It serves the metrics, the host's status and the host list.
func (e *Entry) MetricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		if err := e.counters.Write(w); err != nil {
			e.config.Logger.Debug().Err(err).Msg("metrics were not sent")
		}
	})
	e.serveStatus(mux)
	return mux
}

// relays returns hosts that reach the store and can relay reads and appends for this
// host. Hosts of this host's data centre come first; in what order they come differs
// from host to host, so that the relayed calls of many hosts spread.
func (e *Entry) relays() []relayer.Relay {
	live := e.gossiper.Table().Live()
	start := 0
	if len(live) > 0 {
		start = int(xxhash.Sum64String(e.config.Host.ID) % uint64(len(live)))
	}
	var near, far []string
	for i := range live {
		m := live[(start+i)%len(live)]
		switch {
		case !m.GetStored():
		case m.GetDatacentre() == e.config.Host.DataCentre:
			near = append(near, m.GetAddress())
		default:
			far = append(far, m.GetAddress())
		}
		if len(near) == relayer.MaxRelays {
			break
		}
	}
	var relays []relayer.Relay
	for _, address := range append(near, far...) {
		if len(relays) < relayer.MaxRelays {
			relays = append(relays, e.relay(address))
		}
	}
	return relays
}

// relay returns the host at a peer address as a relay.
func (e *Entry) relay(address string) relayer.Relay {
	c := e.peers.get(address)
	return relayer.Relay{Address: address, Ledger: c.Ledger, Mirror: c.Mirror}
}

// newErrorLog returns the error log of an HTTP server, which writes to a
// logger. Its lines have no level.
func newErrorLog(l zerolog.Logger) *log.Logger {
	return log.New(l.Level(zerolog.DebugLevel), "", 0)
}

var _ connector.Store = (*relayer.Relayer)(nil)
