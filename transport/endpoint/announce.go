package endpoint

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

const maxAnnouncementBytes = 64 << 10

// announcement is the JSON body of POST /announce.
type announcement struct {
	Endpoint         string   `json:"endpoint"`
	Address          string   `json:"address"`
	Service          string   `json:"service"`
	Models           []string `json:"models"`
	BootID           string   `json:"boot_id"`
	MemoryTokens     uint64   `json:"memory_tokens"`
	Concurrency      int      `json:"concurrency"`
	ColdConcurrency  int      `json:"cold_concurrency"`
	PrefillRate      float64  `json:"prefill_tokens_per_second"`
	DecodeMsPerToken float64  `json:"decode_ms_per_token"`
	ChecksFencing    bool     `json:"checks_fencing"`
	Role             string   `json:"role"`
}

func (a announcement) info() gate.EndpointInfo {
	return gate.EndpointInfo{
		Endpoint: a.Endpoint, Address: a.Address, Service: a.Service, Models: a.Models, BootID: a.BootID,
		MemoryTokens: a.MemoryTokens, Concurrency: a.Concurrency, ColdConcurrency: a.ColdConcurrency,
		PrefillTokensPerSecond: a.PrefillRate, DecodeMsPerToken: a.DecodeMsPerToken, ChecksFencing: a.ChecksFencing, Role: a.Role,
	}
}

// AnnounceHandler returns the handler of POST /announce, by which an endpoint registers
// at its agent. receive gets each announcement; its error becomes the response.
func AnnounceHandler(receive func(gate.EndpointInfo) error) http.Handler {
	router := chi.NewRouter()
	router.Post("/announce", func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
			http.Error(w, "malformed announcement", http.StatusBadRequest)
			return
		}
		if err := receive(a.info()); err != nil {
			http.Error(w, err.Error(), fault.KindOf(err).Status())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return router
}
