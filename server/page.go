package server

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/reporter"
)

// hostsTTL is how long a caller may use the response to GET /v1/hosts, in
// seconds.
const hostsTTL = 5

// HostList is the response to GET /v1/hosts.
type HostList struct {
	// Hosts are in the order in which a caller should try them.
	Hosts []descriptor.Host `json:"hosts"`
	// TTL is how long a caller may use the list, in seconds.
	TTL int `json:"ttl"`
}

// hosts answers GET /v1/hosts. With the parameter program it lists the hosts
// for that program, its home first.
func (s *Server) hosts(ctx iris.Context) {
	program := ctx.URLParam("program")
	route := ""
	if program != "" {
		route = locator.KeyHash(program)
	}
	ctx.StopWithJSON(http.StatusOK, HostList{Hosts: s.config.Queries.Hosts(route), TTL: hostsTTL})
}

// ruleFile is the response to GET /v1/rules.
type ruleFile struct {
	Version int64                   `json:"version"`
	Text    string                  `json:"text"`
	History []publisher.Publication `json:"history"`
}

// rules answers GET /v1/rules.
func (s *Server) rules(ctx iris.Context) {
	r := s.config.Queries.Rules()
	ctx.StopWithJSON(http.StatusOK, ruleFile{Version: r.Version, Text: r.Text, History: s.config.Queries.History()})
}

// health answers GET /healthz: 200 if this host accepts calls, else 503.
func (s *Server) health(ctx iris.Context) {
	if !s.config.Queries.Status().Ready {
		ctx.StopWithText(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	ctx.StopWithText(http.StatusOK, "ok\n")
}

// status answers GET /status.
func (s *Server) status(ctx iris.Context) {
	ctx.StopWithJSON(http.StatusOK, s.config.Queries.Status())
}

// metrics answers GET /debug/vars.
func (s *Server) metrics(ctx iris.Context) {
	ctx.ContentType("application/json")
	_ = s.config.Queries.Metrics(ctx.ResponseWriter())
}

// today answers GET /today with the owner's daily report, as JSON if the
// request accepts JSON, else as HTML.
func (s *Server) today(ctx iris.Context) {
	page := s.config.Queries.Page()
	ctx.Header("Cache-Control", "no-store")
	if wantsJSON(ctx) {
		ctx.StopWithJSON(http.StatusOK, page)
		return
	}
	ctx.ContentType("text/html; charset=utf-8")
	_ = reporter.WriteHTML(ctx.ResponseWriter(), page)
}

func wantsJSON(ctx iris.Context) bool {
	return strings.Contains(ctx.GetHeader("Accept"), "application/json")
}

// modelList is the response to GET /v1/models, in OpenAI's form.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models answers GET /v1/models.
func (s *Server) models(ctx iris.Context) {
	if _, err := s.organisation(ctx); err != nil {
		s.refuse(ctx, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range s.config.Queries.Models() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "citronpier"})
	}
	ctx.StopWithJSON(http.StatusOK, list)
}
