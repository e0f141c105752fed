// Package server implements the HTTP API that a host offers to callers:
// OpenAI-style chat completions, programs, calls to plain services (which run
// no model), and pages about the state of the host.
//
// The home of a program or call is the host that owns it. A request is sent to
// its home by a route, a short key that is the same for all calls of a program.
package server
