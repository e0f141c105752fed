package server

import (
	"fmt"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/refuser"
)

// A Server is the HTTP handler for requests of callers to a host.
type Server struct {
	config Config
	app    *iris.Application
}

// New returns a Server. It fails if the routes can't be built.
func New(c Config) (*Server, error) {
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.Bodies == nil {
		c.Bodies = &allocator.Bodies{}
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBanner, iris.WithoutStartupLog, iris.WithoutPathCorrectionRedirection)
	s := &Server{config: c, app: app}
	s.routes()
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build routes: %w", err)
	}
	return s, nil
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.app.Post("/v1/chat/completions", s.chat)
	s.app.Post("/v1/programs", s.open)
	s.app.Delete("/v1/programs/{id:string}", s.finish)
	s.app.Post("/v1/services/{name:string}", s.service)
	s.app.Post("/v1/services/{name:string}/{path:path}", s.service)
	s.app.Delete("/v1/calls/{id:string}", s.cancel)
	s.app.Get("/v1/models", s.models)
	s.app.Get("/v1/hosts", s.hosts)
	s.app.Get("/v1/rules", s.rules)
	s.app.Get("/healthz", s.health)
	s.app.Get("/status", s.status)
	s.app.Get("/debug/vars", s.metrics)
	s.app.Get("/today", s.today)
	s.app.OnErrorCode(http.StatusNotFound, s.refuseRoute)
	s.app.OnErrorCode(http.StatusMethodNotAllowed, s.refuseRoute)
}

// organisation authenticates a request: it returns the organisation that the
// bearer key in the Authorization header belongs to.
func (s *Server) organisation(ctx iris.Context) (parser.Organisation, error) {
	rules := s.config.Queries.Rules()
	if rules.Version == 0 {
		return parser.Organisation{}, refuser.New(refuser.Rules, "no rule file is in force").WithRetry(retryWithoutRules)
	}
	key, ok := bearer(ctx.GetHeader("Authorization"))
	if !ok {
		return parser.Organisation{}, refuser.New(refuser.Key, "the Authorization header has no bearer key")
	}
	o, ok := rules.Organisation(key)
	if !ok {
		return parser.Organisation{}, refuser.New(refuser.Key, "no organisation has this key")
	}
	return o, nil
}
