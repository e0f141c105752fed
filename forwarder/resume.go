package forwarder

import (
	"context"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// resumesStream reports whether the caller wants to resume a stream that an earlier
// attempt began.
func (e *exchange) resumesStream() bool { return e.request.LastEvent != "" }

// unresumable returns the outcome of a request that resumes a stream, if no host can serve
// it, and nil otherwise.
func (e *exchange) unresumable(kind descriptor.Stream) Outcome {
	switch {
	case !kind.Resumable:
		return refused(refuser.New(refuser.Resume, "streams of route %s can't be resumed", e.route.Name))
	case e.request.Resumes == "":
		return refused(refuser.New(refuser.Resume, "the attempt that began the stream is not named"))
	case kind.Retain:
		// The turn would be recorded without the events that the caller has received.
		return refused(refuser.New(refuser.Resume, "a turn that is kept has to begin again"))
	default:
		return nil
	}
}

// keepBuild restricts a request that resumes a stream to the upstreams of the build that
// began the stream. It returns the outcome of the request if the route does not lead to
// the service of that build any more.
func (e *exchange) keepBuild(b *messenger.Build) Outcome {
	e.build = descriptor.Build{Service: b.GetService(), Version: b.GetVersion()}
	service, ok := e.config.Configuration().Services[e.build.Service]
	if !ok || !e.route.LeadsTo(e.build.Service) {
		return refused(refuser.New(refuser.Resume, "service %q began the stream, and the route does not lead there", e.build.Service))
	}
	e.service = service
	e.config.Counters.Reached(counter.StageResumed)
	return nil
}

// bindingRetentionFactor is how long the build that began a stream is kept, in multiples of
// the route's timeout: the stream and one that resumes it may each last that long, and so
// may the caller's wait between them.
const bindingRetentionFactor = 3

// bindStream keeps the build of the upstream that begins the stream, and tells the home of
// the program, so that the stream can be resumed through any host. It does not wait for
// the home: a stream whose build the home does not know is not resumed.
func (e *exchange) bindStream(kind descriptor.Stream) {
	if e.build != (descriptor.Build{}) {
		return
	}
	e.build = e.upstream.Build()
	if !kind.Resumable {
		return
	}
	r := &messenger.BindRequest{
		Shard:     int32(keeper.Shard(e.programID(), e.config.Shards)),
		Attempt:   e.scoped(e.request.ID),
		Build:     &messenger.Build{Service: e.build.Service, Version: e.build.Version},
		Retention: (bindingRetentionFactor * e.route.Timeout).Milliseconds(),
	}
	go func() {
		ctx, cancel := context.WithTimeout(e.config.Background, settleTimeout)
		defer cancel()
		if _, err := e.config.Homes.Bind(ctx, r); err != nil {
			e.config.Logger.Info().Err(err).Str("id", r.GetAttempt()).Msg("version of stream not kept by its home")
		}
	}()
}
