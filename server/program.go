package server

import (
	"crypto/rand"
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// programPrefix is the start of the IDs of programs.
const programPrefix = "program-"

// openRequest is the body of POST /v1/programs.
type openRequest struct {
	Kind string `json:"kind"`
	// Budget bounds the tokens that the program's calls generate in total; 0
	// stands for the budget that the rules give to the kind.
	Budget int64 `json:"budget"`
}

// openResponse is the response to POST /v1/programs.
type openResponse struct {
	ID     string            `json:"id"`
	Token  string            `json:"token"`
	Budget int64             `json:"budget"`
	Hosts  []descriptor.Host `json:"hosts"`
}

// open answers POST /v1/programs.
func (s *Server) open(ctx iris.Context) {
	answer, err := s.openProgram(ctx)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	ctx.StopWithJSON(http.StatusCreated, answer)
}

// openProgram chooses the ID of a new program and opens the program at its
// home.
func (s *Server) openProgram(ctx iris.Context) (*openResponse, error) {
	o, err := s.organisation(ctx)
	if err != nil {
		return nil, err
	}
	raw, err := s.body(ctx)
	if err != nil {
		return nil, err
	}
	var in openRequest
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &in); err != nil {
			return nil, refuser.New(refuser.Malformed, "the body is not valid: %w", err)
		}
	}
	if in.Budget < 0 {
		return nil, refuser.New(refuser.Malformed, "budget must not be below 0")
	}
	id := programPrefix + rand.Text()
	route := locator.KeyHash(id)
	reply, err := s.config.Commands.Open(ctx.Request().Context(), route, &messenger.OpenRequest{
		Organisation: o.Name, Kind: in.Kind, Budget: in.Budget, Program: id,
	})
	if err != nil {
		return nil, err
	}
	return &openResponse{
		ID: reply.GetProgram(), Token: reply.GetToken(), Budget: reply.GetBudget(),
		Hosts: s.config.Queries.Hosts(route),
	}, nil
}

// finish answers DELETE /v1/programs/{id}.
func (s *Server) finish(ctx iris.Context) {
	o, err := s.organisation(ctx)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	id := ctx.Params().Get("id")
	_, err = s.config.Commands.Finish(ctx.Request().Context(), locator.KeyHash(id), &messenger.FinishRequest{
		Organisation: o.Name, Program: id,
	})
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	ctx.StatusCode(http.StatusNoContent)
}

// cancelResponse is the response to DELETE /v1/calls/{id}.
type cancelResponse struct {
	ID string `json:"id"`
	// Run reports whether the call has run at an upstream: no, yes or unknown.
	Run string `json:"run"`
}

// cancel answers DELETE /v1/calls/{id}.
func (s *Server) cancel(ctx iris.Context) {
	o, err := s.organisation(ctx)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	id := ctx.Params().Get("id")
	route, ok := routeOf(id)
	if !ok {
		s.refuse(ctx, refuser.New(refuser.Malformed, "%q is no call's id", id))
		return
	}
	reply, err := s.config.Commands.Cancel(ctx.Request().Context(), route, &messenger.CancelRequest{
		Organisation: o.Name, Call: id,
	})
	if err != nil {
		s.refuse(ctx, refuser.From(err).WithRun(descriptor.RunUnknown))
		return
	}
	ctx.StopWithJSON(http.StatusOK, cancelResponse{ID: id, Run: reply.GetRun()})
}
