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

// retryWithoutRules is the Retry-After time of requests that are refused
// because no rule file is in force yet.
const retryWithoutRules = time.Second

// errorBody is the JSON body of a response that refuses a request. It has the
// form of OpenAI's errors, with the fields run and retry added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string  `json:"type"`
	Message string  `json:"message"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	// Run reports whether the call has run at an upstream: no, yes or unknown.
	Run string `json:"run"`
	// Retry is the time in seconds after which the request may be sent again. It
	// is omitted if it is 0.
	Retry float64 `json:"retry,omitempty"`
}

func newErrorBody(r *refuser.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Type:    string(r.Reason),
		Message: r.Message,
		Code:    string(r.Reason),
		Run:     string(r.Run),
		Retry:   r.Retry.Seconds(),
	}}
}

// refuse answers a request with the refusal in err and counts the refusal.
func (s *Server) refuse(ctx iris.Context, err error) {
	r := refuser.From(err)
	s.config.Commands.CountRefused(r.Reason)
	answerRefusal(ctx, r)
}

// answerFault answers with the refusal of the call's home. The home has already
// counted the refusal, so this host does not count it.
func answerFault(ctx iris.Context, f *messenger.Fault) { answerRefusal(ctx, f.Refusal()) }

// answerRefusal sends a refusal as the response. The headers tell client
// libraries whether and when to retry.
func answerRefusal(ctx iris.Context, r *refuser.Refusal) {
	if r.Retry > 0 {
		ctx.Header("Retry-After", strconv.Itoa(int(math.Ceil(r.Retry.Seconds()))))
	}
	if !mayRetry(r) {
		ctx.Header("X-Should-Retry", "false")
	}
	ctx.StopWithJSON(r.Reason.Status(), newErrorBody(r))
}

// mayRetry reports whether sending the same call again may succeed.
func mayRetry(r *refuser.Refusal) bool { return r.Reason.Transient() || r.Retry > 0 }

// refuseRoute answers requests whose path or method is not part of the API.
func (s *Server) refuseRoute(ctx iris.Context) {
	r := refuser.New(refuser.Route, "no route for %s %s", ctx.Method(), ctx.Path())
	s.config.Commands.CountRefused(r.Reason)
	ctx.StopWithJSON(max(ctx.GetStatusCode(), http.StatusNotFound), newErrorBody(r))
}
