package callerhttp

import (
	"net/http"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/coordination/claims"
	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/go-chi/chi/v5"
)

// Server serves callers.
type Server struct {
	Store        *configsync.Store
	Quota        *admission.Quota
	Router       *routing.Router
	Relay        *relay.Relay
	Claims       *claims.Executor
	Gates        relay.Gates
	ResumeTokens *ResumeTokens
	BodyBudget   *BodyBudget
	Drain        *Drain
	Metrics      *metrics.Registry
	Log          *logs.Logger
	// ReadyFrom is when the process may be ready at the earliest: until then
	// gates may not have reported to it yet.
	ReadyFrom time.Time
}

// drainRetry is told while the process shuts down; the balancer has left it by then.
const drainRetry = time.Second

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", s.ready)
	mux.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { s.Metrics.WriteText(w) })
	mux.Group(func(r chi.Router) {
		r.Use(s.admitUnlessDraining)
		r.Post("/v1/completions", s.completion("/v1/completions", false))
		r.Post("/v1/chat/completions", s.completion("/v1/chat/completions", true))
		r.Get("/v1/resume/{token}", s.resume)
		r.HandleFunc("/services/{service}", s.service)
		r.HandleFunc("/services/{service}/*", s.service)
	})
	mux.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, fault.New(fault.NotFound, "there is nothing at %s", r.URL.Path), scopeOf(r))
	})
	mux.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, fault.New(fault.InvalidRequest, "%s does not take %s", r.URL.Path, r.Method), scopeOf(r))
	})
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Drain.Draining() {
		writeFault(w, draining(), wholeRequest)
		return
	}
	if _, err := s.Store.Current(); err != nil {
		writeFault(w, err, wholeRequest)
		return
	}
	if wait := time.Until(s.ReadyFrom); wait > 0 {
		writeFault(w, fault.New(fault.NotCurrent, "gates may not have reported yet").WithRetryAfter(wait), wholeRequest)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func draining() error {
	return fault.New(fault.OutOfService, "this entry is shutting down").WithRetryAfter(drainRetry)
}

func (s *Server) admitUnlessDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.Drain.Add() {
			w.Header().Set("Connection", "close")
			writeFault(w, draining(), scopeOf(r))
			return
		}
		defer s.Drain.Done()
		next.ServeHTTP(w, r)
	})
}
