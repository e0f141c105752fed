package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

// Refusals by full upstreams are not seen, or hosts that hear all others count choices.
func TestChoicesAreCounted(t *testing.T) {
	for _, c := range []struct {
		dataCentres map[string]float64
		want        string
	}{
		{nil, "{}"},
		{map[string]float64{"": 1}, `{"demand": 2, "refused": 2, "refused_free": 1}`},
	} {
		f := newFixture()
		f.dataCentres = c.dataCentres
		f.start(t, descriptor.Once{}, 1, f.startUpstream(t, "u0", answerNotRun), f.startUpstream(t, "u1", answerNotRun))
		var s sink
		f.forwarder.Serve(t.Context(), request(), &s, time.Now())
		if diff := cmp.Diff(c.want, fmt.Sprint(f.counters.Choices.String())); diff != "" {
			t.Errorf("demands %v: choices (-want +got):\n%s", c.dataCentres, diff)
		}
	}
}
