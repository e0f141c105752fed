package dialer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/messenger"
)

// Another host answers the request for a stream with a status. Only the rejections of its
// handler say that the call has not started.
func TestStatusOfHostSaysThatCallHasNotStarted(t *testing.T) {
	for status, notStarted := range map[int]bool{
		http.StatusBadRequest: true, http.StatusUnauthorized: true, http.StatusNotFound: true,
		http.StatusRequestTimeout: false, http.StatusInternalServerError: false, http.StatusBadGateway: false,
		http.StatusGatewayTimeout: false, http.StatusNoContent: false, http.StatusFound: false,
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			s.Config.Protocols = new(http.Protocols)
			s.Config.Protocols.SetUnencryptedHTTP2(true)
			s.Start()
			defer s.Close()
			peers := dialer.NewPeers("key", dialer.NewDial())
			_, err := peers.Call(t.Context(), descriptor.Host{ID: "h", Peer: s.Listener.Addr().String()}, &messenger.CallRequest{})
			var unsent *connector.UnsentError
			if diff := cmp.Diff(notStarted, errors.As(err, &unsent)); err == nil || diff != "" {
				t.Errorf("not started (-want +got):\n%s%v", diff, err)
			}
		})
	}
}
