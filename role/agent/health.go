package agent

import (
	"fmt"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// healthHandler serves metrics, liveness and readiness.
func (a *Agent) healthHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.gate.Report(0).GetReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		a.metrics.WriteText(w)
		a.writeGauges(w)
	})
	return router
}

// writeGauges writes the gate's load, admit limit and cold state. The argument 0 asks for
// all cache events, which the gauges don't use.
func (a *Agent) writeGauges(w io.Writer) {
	report := a.gate.Report(0)
	cold := 0
	if report.GetCold() {
		cold = 1
	}
	fmt.Fprintf(w, "gate_running %d\n", report.GetLoad().GetGateRunning())
	fmt.Fprintf(w, "gate_waiting %d\n", report.GetLoad().GetGateWaiting())
	fmt.Fprintf(w, "gate_admit_limit %d\n", report.GetAdmitLimit())
	fmt.Fprintf(w, "gate_cold %d\n", cold)
}
