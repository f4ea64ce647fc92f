package fakeendpoint

import (
	"maps"
	"net/http"
	"slices"
)

// State has the counters of the fake endpoint, for tests.
type State struct {
	BootID           string         `json:"boot_id"`
	Violations       []Violation    `json:"breaches"`
	MemoryTokensUsed uint64         `json:"memory_tokens_used"`
	Running          int            `json:"running"`
	RunsByAttempt    map[string]int `json:"runs"` // requests received, also refused ones
	RunsByKey        map[string]int `json:"keys"` // bookings made, by idempotency key
	Orders           []orderRecord  `json:"orders"`
	Served           int            `json:"served"`   // attempts finished
	Arrivals         uint64         `json:"arrivals"` // attempts admitted
}

// State returns a copy of the counters.
func (e *Endpoint) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		BootID:           e.bootID,
		Violations:       append([]Violation{}, e.violations...),
		MemoryTokensUsed: e.memoryUsedTokens,
		Running:          len(e.attempts),
		RunsByAttempt:    maps.Clone(e.runsByAttempt),
		RunsByKey:        maps.Clone(e.runsByKey),
		Orders:           slices.Clone(e.orders),
		Served:           e.served,
		Arrivals:         e.arrivals,
	}
}

type restartRequest struct {
	BreakConnections bool `json:"break_connections"`
}

type slowRequest struct {
	Factor float64 `json:"factor"`
}

type agentRequest struct {
	Agent string `json:"agent"` // base URL of the agent's announce address
}

// serveAgent makes the fake endpoint announce itself to another agent.
func (e *Endpoint) serveAgent(w http.ResponseWriter, r *http.Request) {
	var request agentRequest
	if err := readJSON(w, r, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.config.Agent = request.Agent
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

func (e *Endpoint) serveRestart(w http.ResponseWriter, r *http.Request) {
	var request restartRequest
	if err := readJSON(w, r, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Restart(request.BreakConnections)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) serveSlow(w http.ResponseWriter, r *http.Request) {
	var request slowRequest
	if err := readJSON(w, r, &request); err != nil || request.Factor <= 0 {
		http.Error(w, "factor must be above 0", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.slowdown = request.Factor
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
