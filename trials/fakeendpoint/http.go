package fakeendpoint

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
)

type bootReport struct {
	BootID string `json:"boot_id"`
}

// Handler returns the endpoint's HTTP API, which differs for an engine and a service.
func (e *Endpoint) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/boot", e.serveBoot)
	r.Get("/load", e.serveLoad)
	r.Get("/v1/attempts", e.serveAttempts)
	r.Delete("/v1/attempts/{id}", e.serveCancel)
	r.Get("/debug/state", e.serveState)
	r.Post("/debug/restart", e.serveRestart)
	r.Post("/debug/slow", e.serveSlow)
	r.Post("/debug/agent", e.serveAgent)
	r.Post("/orders", e.serveOrder)
	if e.config.Service != "" {
		r.Post("/book", e.withAdmission(e.serveBook))
		r.Get("/contracts/{name}", e.withAdmission(e.serveContract))
		r.NotFound(e.withAdmission(e.serveEcho))
		r.MethodNotAllowed(e.withAdmission(e.serveEcho))
		return r
	}
	r.Post("/v1/completions", e.serveCompletions)
	r.Post("/v1/chat/completions", e.serveCompletions)
	r.Get("/v1/attempts/{id}/stream", e.serveResume)
	r.Get("/cache/events", e.serveCacheEvents)
	r.Post("/kv/prefill", e.serveKvPrefill)
	r.Post("/kv/export", e.serveKvExport)
	r.Post("/kv/import", e.serveKvImport)
	r.Get("/kv/blocks/{block}", e.serveKvBlock)
	r.Delete("/kv/blocks/{block}", e.serveKvDelete)
	return r
}

func (e *Endpoint) serveBoot(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, bootReport{BootID: e.currentBoot()})
}

// refuse answers with an error and X-Not-Run: the request was not run.
func refuse(w http.ResponseWriter, status int, err error) {
	w.Header().Set(headerNotRun, "true")
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
}

func queryInt(r *http.Request, name string) int {
	value, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return 0
	}
	return value
}
