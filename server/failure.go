package server

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// retryRules is when to ask again while no rule file is in force.
const retryRules = time.Second

// failure is the body of an answer that refuses a request.
type failure struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Type    string  `json:"type"`
	Message string  `json:"message"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	// Run is no, yes or unknown.
	Run string `json:"run"`
	// Retry is the time in seconds after which asking again may help.
	Retry float64 `json:"retry,omitempty"`
}

func newFailure(r *refuser.Refusal) failure {
	return failure{Error: failureDetail{
		Type:    string(r.Reason),
		Message: r.Message,
		Code:    string(r.Reason),
		Run:     string(r.Run),
		Retry:   r.Retry.Seconds(),
	}}
}

// refuse answers a request that this host refuses, and counts it.
func (s *Server) refuse(ctx iris.Context, err error) {
	r := refuser.From(err)
	s.config.Commands.Refused(r.Reason)
	answerRefusal(ctx, r)
}

// pass answers with a refusal that the home of the call has counted.
func pass(ctx iris.Context, f *messenger.Fault) { answerRefusal(ctx, f.Refusal()) }

func answerRefusal(ctx iris.Context, r *refuser.Refusal) {
	if r.Retry > 0 {
		ctx.Header("Retry-After", strconv.Itoa(int(math.Ceil(r.Retry.Seconds()))))
	}
	if !mayRetry(r) {
		ctx.Header("X-Should-Retry", "false")
	}
	ctx.StopWithJSON(r.Reason.Status(), newFailure(r))
}

// mayRetry reports whether a client library should send the call again.
func mayRetry(r *refuser.Refusal) bool { return r.Reason.Transient() || r.Retry > 0 }

// missing answers requests that no route takes.
func (s *Server) missing(ctx iris.Context) {
	r := refuser.New(refuser.Route, "no route for %s %s", ctx.Method(), ctx.Path())
	s.config.Commands.Refused(r.Reason)
	ctx.StopWithJSON(max(ctx.GetStatusCode(), http.StatusNotFound), newFailure(r))
}
