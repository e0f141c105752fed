package dispatcher_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/dispatcher"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/refuser"
)

// crashingEngine loses every call that it receives.
type crashingEngine struct {
	connector.Engine
	// received counts the calls.
	received int
}

func (e *crashingEngine) Start(_ context.Context, u descriptor.Upstream, req connector.ModelRequest) (connector.Chunks, error) {
	e.received++
	return nil, &connector.UnknownCallError{Upstream: u.ID, Call: req.Call}
}

// outcome is what the requesting host learns of a suspect's attempt.
type outcome struct {
	Received int
	Refused  refuser.Reason
	Alone    bool
}

// runSuspect runs a suspect request on a crashing engine. The host becomes or stops
// being home of the engine as isHome says.
func runSuspect(t *testing.T, isHome func(received int) bool) outcome {
	var got outcome
	synctest.Test(t, func(t *testing.T) {
		engine := &crashingEngine{}
		upstream := descriptor.Upstream{ID: "engine-1", Slots: 2}
		d := dispatcher.New(dispatcher.Config{
			Engine:           engine,
			Members:          func() descriptor.Members { return descriptor.Members{Upstreams: []descriptor.Upstream{upstream}} },
			Refresh:          func(context.Context) {},
			MembershipStable: func() bool { return true },
			IsHome:           func(descriptor.Upstream) bool { return isHome(engine.received) },
			Rules:            func() parser.Rules { return parser.Rules{} },
			Clock:            time.Now,
			Counters:         &counter.Set{},
			Logger:           zerolog.Nop(),
		})
		err := d.Run(t.Context(), &messenger.DispatchRequest{Upstream: "engine-1", Call: "call-a", Alone: true},
			func(f *messenger.Frame) error {
				got.Alone = got.Alone || f.GetFault().GetAlone()
				return nil
			})
		got.Received = engine.received
		var refusal *refuser.Refusal
		if errors.As(err, &refusal) {
			got.Refused = refusal.Reason
		}
	})
	return got
}

func TestSuspectRunsAtHostThatIsNoLongerHome(t *testing.T) {
	got := runSuspect(t, func(int) bool { return false })
	if diff := cmp.Diff(outcome{Refused: refuser.Home}, got); diff != "" {
		t.Errorf("suspect at a host that is not home (-want +got):\n%s", diff)
	}
}

func TestCrashBlamedOnSuspectAfterHomeMoved(t *testing.T) {
	got := runSuspect(t, func(received int) bool { return received == 0 })
	if diff := cmp.Diff(outcome{Received: 1}, got); diff != "" {
		t.Errorf("suspect whose host stopped being home (-want +got):\n%s", diff)
	}
}

func TestCrashOfSuspectAtItsHomeIsNotCounted(t *testing.T) {
	got := runSuspect(t, func(int) bool { return true })
	if diff := cmp.Diff(outcome{Received: 1, Alone: true}, got); diff != "" {
		t.Errorf("suspect at its home (-want +got):\n%s", diff)
	}
}
