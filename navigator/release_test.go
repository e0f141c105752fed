package navigator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/navigator"
)

// mixedHome is a home in a cluster where one host is of a release that has no Bind.
type mixedHome struct {
	home
	earlier string
	bound   *[]string
}

func (h mixedHome) Bind(context.Context, *messenger.BindRequest) (*messenger.BindReply, error) {
	*h.bound = append(*h.bound, h.host)
	if h.host != h.earlier {
		return &messenger.BindReply{}, nil
	}
	return nil, twirp.NewError(twirp.BadRoute, "no handler for path Bind")
}

func TestHomeOfEarlierReleaseReplacedAfterBind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCluster(3)
		var bound []string
		n := c.navigator(func(h home) navigator.Home { return mixedHome{h, c.ranked()[0], &bound} })
		_, bindErr := n.Bind(t.Context(), &messenger.BindRequest{})
		_, err := n.Begin(t.Context(), &messenger.BeginRequest{})
		home := c.ranked()[0]
		if diff := cmp.Diff([][]string{{home}, {home}}, [][]string{bound, c.called}); diff != "" || err != nil {
			t.Errorf("error %v, hosts called by Bind, by Begin (-want +got):\n%s", err, diff)
		}
		var notKept *navigator.NotKeptError
		if !errors.As(bindErr, &notKept) {
			t.Errorf("error of Bind is %v, want a NotKeptError", bindErr)
		}
	})
}

// remoteHome implements navigator.Home by calls over the network.
type remoteHome struct {
	messenger.Ledger
	messenger.Mirror
}

func (h remoteHome) Find(ctx context.Context, r *messenger.FindRequest) (*messenger.FindReply, error) {
	return h.Mirror.Find(ctx, r)
}

// Twirp answers a method and a service that a host does not have in different ways.
func TestMissingBindTakenForFailure(t *testing.T) {
	ledgers := messenger.NewLedgerServer(nil)
	for name, handler := range map[string]http.Handler{
		"no such method": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.URL.Path = ledgers.PathPrefix() + "Missing"
			ledgers.ServeHTTP(w, r)
		}),
		"no such service": http.NewServeMux(),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			c, _ := newCluster(1)
			n := navigator.New(navigator.Config{
				Self: "self",
				View: func(time.Time) locator.View { return locator.View{}.WithMembers(descriptor.Members{Hosts: c.hosts}) },
				Live: func(host string) bool { return c.live[host] },
				Open: func(descriptor.Host) navigator.Home {
					return remoteHome{Ledger: messenger.NewLedgerProtobufClient(server.URL, server.Client())}
				},
				Counters: &counter.Set{},
				Logger:   zerolog.Nop(),
			})
			_, err := n.Bind(t.Context(), &messenger.BindRequest{})
			var notKept *navigator.NotKeptError
			if !errors.As(err, &notKept) {
				t.Errorf("error of Bind is %v, want a NotKeptError", err)
			}
		})
	}
}
