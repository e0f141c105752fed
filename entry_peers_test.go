package citronpier

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/navigator"
	"github.com/citronpier/citronpier/standin"
)

// Entry hosts take a home that can't encode a turn for a failed one.
func TestHomeTellsThatNoHomeCanRecordTurn(t *testing.T) {
	home := localHome{keeper.New(t.Context(), keeper.Config{
		Incarnation: "a", Store: (&standin.Store{}).Host("a"), Partitions: []connector.Partition{{Topic: "turns"}}, RecordBytes: 1 << 10,
		Home: func(int, time.Time) bool { return true }, StoreReachable: func(time.Time) bool { return true },
		Counters: &counter.Set{}, Logger: zerolog.Nop(),
	})}
	_, err := home.End(t.Context(), &messenger.EndRequest{Program: "p", Turn: "\xff", Retain: true, Retention: time.Minute.Milliseconds()})
	var told twirp.Error
	if !errors.As(err, &told) {
		t.Fatalf("error %v is none of twirp", err)
	}
	if diff := cmp.Diff(navigator.UnrecordableCode, told.Code()); diff != "" {
		t.Errorf("code (-want +got):\n%s", diff)
	}
}
