package server

import (
	"context"
	"io"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/reporter"
	"github.com/citronpier/citronpier/sequencer"
)

// Commands is what a Server asks the system to do. Each request goes to the
// host that is home of its route.
type Commands interface {
	Call(ctx context.Context, route string, req *messenger.CallRequest) (connector.Frames, error)
	Open(ctx context.Context, route string, req *messenger.OpenRequest) (*messenger.OpenReply, error)
	Finish(ctx context.Context, route string, req *messenger.FinishRequest) (*messenger.FinishReply, error)
	Cancel(ctx context.Context, route string, req *messenger.CancelRequest) (*messenger.CancelReply, error)
	// Refused counts a refusal that the Server decided itself.
	Refused(reason refuser.Reason)
}

// Queries is what a Server asks the system about itself.
type Queries interface {
	Hosts(route string) []descriptor.Host
	Rules() parser.Rules
	History() []publisher.Publication
	// Models returns the models that upstreams serve.
	Models() []string
	Page() reporter.Page
	Status() Status
	Metrics(w io.Writer) error
}

// Status is the state of one host.
type Status struct {
	Host        descriptor.Host `json:"host"`
	Incarnation string          `json:"incarnation"`
	// Ready says that the host takes calls.
	Ready bool `json:"ready"`
	// Rules is the version of the rule file in force; 0 is none.
	Rules int64 `json:"rules"`
	// Log is the next offset that the host reads.
	Log int64 `json:"log"`
	// Age is the time in milliseconds since the log last answered.
	Age      int64 `json:"age"`
	Programs int   `json:"programs"`
	Hosts    int   `json:"hosts"`
}

// Config is what a Server works with.
type Config struct {
	Commands Commands
	Queries  Queries
	Signer   *sequencer.Signer
	// MaxBody bounds a request body in bytes; 0 is DefaultMaxBody.
	MaxBody int64
}

// DefaultMaxBody is the largest request body taken, in bytes.
const DefaultMaxBody = 8 << 20
