package navigator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/twitchtv/twirp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/navigator"
)

// refusingHome is a home that can't record turns.
type refusingHome struct {
	home
	ended *[]string
}

func (h refusingHome) End(context.Context, *messenger.EndRequest) (*messenger.EndReply, error) {
	*h.ended = append(*h.ended, h.host)
	return nil, twirp.NewError(navigator.UnrecordableCode, "the store takes no record of it")
}

// A host that answers that no home can record a turn is avoided, and other hosts are asked.
func TestHomeReplacedAfterTurnThatNoHomeCanRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCluster(3)
		var ended []string
		n := c.navigator(func(h home) navigator.Home { return refusingHome{h, &ended} })
		_, endErr := n.End(t.Context(), &messenger.EndRequest{Retain: true})
		_, err := n.Begin(t.Context(), &messenger.BeginRequest{})
		first := c.ranked()[0]
		if diff := cmp.Diff([][]string{{first}, {first}}, [][]string{ended, c.called}); diff != "" || err != nil {
			t.Errorf("error %v, hosts called by End, by Begin (-want +got):\n%s", err, diff)
		}
		var unrecordable *keeper.UnrecordableError
		if !errors.As(endErr, &unrecordable) {
			t.Errorf("error of End is %v, want an UnrecordableError", endErr)
		}
	})
}
