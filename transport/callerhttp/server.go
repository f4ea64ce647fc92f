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

// Server is the HTTP server of an entry for callers.
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
	// ReadyFrom is the earliest time at which /readyz reports success. Before it,
	// gates may not have reported to this process yet, and requests would be refused.
	ReadyFrom time.Time
}

// drainRetryAfter is the Retry-After value while the process shuts down. By the time of
// the retry the load balancer has stopped sending to this entry.
const drainRetryAfter = time.Second

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		limitWrite(w)
		w.WriteHeader(http.StatusOK)
	})
	mux.Get("/readyz", s.handleReady)
	mux.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		limitWrite(w)
		s.Metrics.WriteText(w)
	})
	mux.Group(func(r chi.Router) {
		r.Use(s.admitUnlessDraining)
		r.Post("/v1/completions", s.completionHandler("/v1/completions", false))
		r.Post("/v1/chat/completions", s.completionHandler("/v1/chat/completions", true))
		r.Get("/v1/resume/{token}", s.handleResume)
		r.HandleFunc("/services/{service}", s.handleService)
		r.HandleFunc("/services/{service}/*", s.handleService)
	})
	mux.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, fault.New(fault.NotFound, "no route matches %s", r.URL.Path), scopeBeforeClaim(r))
	})
	mux.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, fault.New(fault.InvalidRequest, "%s does not accept the method %s", r.URL.Path, r.Method), scopeBeforeClaim(r))
	})
	return mux
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.Drain.Draining() {
		writeFault(w, drainingError(), requestScope)
		return
	}
	if _, err := s.Store.Current(); err != nil {
		writeFault(w, err, requestScope)
		return
	}
	if wait := time.Until(s.ReadyFrom); wait > 0 {
		writeFault(w, fault.New(fault.NotCurrent, "the entry has just started, and gates may not have reported to it yet").WithRetryAfter(wait), requestScope)
		return
	}
	limitWrite(w)
	w.WriteHeader(http.StatusOK)
}

func drainingError() error {
	return fault.New(fault.OutOfService, "this entry is shutting down").WithRetryAfter(drainRetryAfter)
}

// admitUnlessDraining counts each request as running, or refuses it once the entry is
// draining.
func (s *Server) admitUnlessDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.Drain.Add() {
			w.Header().Set("Connection", "close")
			writeFault(w, drainingError(), scopeBeforeClaim(r))
			return
		}
		defer s.Drain.Done()
		next.ServeHTTP(w, r)
	})
}
