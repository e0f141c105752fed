package server

import (
	"context"
	"io"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/reporter"
	"github.com/citronpier/citronpier/sequencer"
)

// Commands are the requests of callers that change state. Each command runs at
// the host that is home of its route. Errors are refusals, see refuser.From.
type Commands interface {
	// Call runs a call. The answer is a stream of frames, which the Server closes.
	Call(ctx context.Context, route string, req *messenger.CallRequest) (connector.Frames, error)
	// Open opens a program.
	Open(ctx context.Context, route string, req *messenger.OpenRequest) (*messenger.OpenReply, error)
	// Finish ends a program.
	Finish(ctx context.Context, route string, req *messenger.FinishRequest) (*messenger.FinishReply, error)
	// Cancel cancels a call.
	Cancel(ctx context.Context, route string, req *messenger.CancelRequest) (*messenger.CancelReply, error)
	// CountRefused counts a refusal that this host sends and that no home has counted.
	CountRefused(reason refuser.Reason)
}

// Queries read the state of this host. They change nothing.
type Queries interface {
	// Hosts returns the hosts that a caller should use, in the order in which to
	// try them. An empty route stands for any request.
	Hosts(route string) []descriptor.Host
	// Rules returns the rules in force. Their version is 0 if there are none.
	Rules() parser.Rules
	// History returns the rule files published so far, oldest first.
	History() []publisher.Publication
	// Models returns the names of the models that upstreams serve.
	Models() []string
	// Page returns the daily report that the owner of the deployment reads.
	Page() reporter.Page
	// Status returns the state of this host.
	Status() Status
	// Metrics writes the counters of this host as JSON.
	Metrics(w io.Writer) error
}

// Status is the state of one host, the response to GET /status.
type Status struct {
	Host descriptor.Host `json:"host"`
	// Incarnation identifies this run of the host and is never reused.
	Incarnation string `json:"incarnation"`
	// Ready is true if the host accepts calls.
	Ready bool `json:"ready"`
	// Rules is the version of the rule file in force; 0 means that there is none.
	Rules int64 `json:"rules"`
	// LogOffset is the offset of the next log record that the host will read.
	LogOffset int64 `json:"log"`
	// LogAge is the time since the log last answered, in milliseconds.
	LogAge int64 `json:"age"`
	// Programs is the number of running programs that the host is home of.
	Programs int `json:"programs"`
	// Hosts is the number of live hosts, including this one.
	Hosts int `json:"hosts"`
}

// Config holds the parameters of a Server. MaxBody and Bodies are optional.
type Config struct {
	Commands Commands
	Queries  Queries
	// Signer checks the program tokens that callers send.
	Signer *sequencer.Signer
	// MaxBody bounds a request body in bytes; 0 means DefaultMaxBody.
	MaxBody int64
	// Bodies is the memory for request bodies; nil means that it has the default size.
	Bodies *allocator.Bodies
}

// DefaultMaxBody is the largest accepted request body, in bytes, unless Config
// sets another limit.
const DefaultMaxBody = 8 << 20
