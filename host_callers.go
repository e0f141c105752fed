package citronpier

import (
	"net/http"
	"time"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/enforcer"
	"github.com/citronpier/citronpier/sequencer"
	"github.com/citronpier/citronpier/server"
)

const (
	// callerHeaderTimeout bounds the time that a caller takes to send the headers
	// of a request.
	callerHeaderTimeout = 10 * time.Second
	// callerHeaderBytes bounds the headers of a caller's request.
	callerHeaderBytes = 64 << 10
	// callerIdleTimeout bounds how long a caller's connection may be idle.
	callerIdleTimeout = 2 * time.Minute
)

// createCallerServer creates the HTTP server for callers, and bounds what they take of the
// host's memory and descriptors.
func (h *Host) createCallerServer(signer *sequencer.Signer) error {
	budget := allocator.Budget{Memory: h.settings.memory}
	bodies := &allocator.Bodies{Bytes: budget.Bodies()}
	callers, err := server.New(server.Config{
		Commands: (*commands)(h),
		Queries:  (*queries)(h),
		Signer:   signer,
		MaxBody:  h.settings.maxBody,
		Bodies:   bodies,
	})
	if err != nil {
		return err
	}
	h.callers = &http.Server{
		Handler:           h.closeConnectionsWhenLeaving(callers),
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    callerHeaderBytes,
		ConnState:         enforcer.ConnState,
	}
	h.callerListener = enforcer.Listener{
		Listener:    h.settings.callerListener,
		Limits:      func() enforcer.Limits { return enforcer.Limits{} },
		Connections: enforcer.NewConnections(budget.Callers(0), bodies.ShedStalled),
		Backlogs:    &enforcer.Backlogs{Bytes: budget.Readers()},
	}
	return nil
}
