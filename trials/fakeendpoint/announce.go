package fakeendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// announcement is the body of an endpoint's POST /announce to its agent.
type announcement struct {
	Endpoint               string   `json:"endpoint"`
	Address                string   `json:"address"`
	Service                string   `json:"service"`
	Models                 []string `json:"models,omitempty"`
	BootID                 string   `json:"boot_id"`
	MemoryTokens           uint64   `json:"memory_tokens,omitempty"`
	Concurrency            int      `json:"concurrency"`
	ColdConcurrency        int      `json:"cold_concurrency"`
	PrefillTokensPerSecond float64  `json:"prefill_tokens_per_second,omitempty"`
	DecodeMsPerToken       float64  `json:"decode_ms_per_token,omitempty"`
	ChecksFencing          bool     `json:"checks_fencing"`
	Role                   string   `json:"role,omitempty"`
}

func (e *Endpoint) announcement(address string) announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := announcement{
		Endpoint:        e.config.Name,
		Address:         address,
		Service:         e.config.Service,
		BootID:          e.bootID,
		Concurrency:     e.config.Concurrency,
		ColdConcurrency: e.config.ColdConcurrency,
		ChecksFencing:   e.config.ChecksFencing,
	}
	if e.config.Service != "" {
		return a
	}
	a.Models = slices.Clone(e.models)
	a.MemoryTokens = e.config.MemoryTokens
	a.PrefillTokensPerSecond = e.config.PrefillTokensPerSecond
	a.DecodeMsPerToken = float64(e.config.DecodePerToken) / float64(time.Millisecond)
	a.Role = e.role
	return a
}

// Announce announces the endpoint and its HTTP address to the agent, periodically and
// after each restart or executed order, until ctx ends.
func (e *Endpoint) Announce(ctx context.Context, address string) {
	client := &http.Client{Timeout: announceTimeout}
	for ctx.Err() == nil {
		pause := announceInterval
		if err := e.postAnnouncement(ctx, client, address); err != nil {
			pause = announceRetryInterval
		}
		select {
		case <-time.After(pause):
		case <-e.reannounce:
		case <-ctx.Done():
		}
	}
}

func (e *Endpoint) postAnnouncement(ctx context.Context, client *http.Client, address string) error {
	body, err := json.Marshal(e.announcement(address))
	if err != nil {
		return err
	}
	e.mu.Lock()
	agent := e.config.Agent
	e.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, agent+"/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("the agent answered %s", response.Status)
	}
	return nil
}
