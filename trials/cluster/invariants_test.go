package cluster

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/fakeendpoint"
	"github.com/apricotspoke/apricotspoke/trials/httpserver"
)

// The check must find what a gate causes that ignores the endpoint's limits: a violation,
// memory that stays in use, and a key that runs twice.
func TestCheckFindsViolationsRepeatedRunsAndMemoryInUse(t *testing.T) {
	startFake := func(config fakeendpoint.Config) *Endpoint {
		config.ColdConcurrency, config.Concurrency, config.MemoryTokens, config.PrefillTokensPerSecond = 1, 1, 1000, 1
		e := fakeendpoint.New(config)
		go e.Run(t.Context())
		server := httpserver.Start(t, e.Handler())
		return &Endpoint{Process: &Process{Name: "e"}, HTTPAddress: strings.TrimPrefix(server.URL, "http://")}
	}
	post := func(e *Endpoint, path, attempt, body string) {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.HTTPAddress+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Attempt-Id", attempt)
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}
	want := func(e *Endpoint, text string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := e.check(ctx); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("got %v, want %q", err, text)
		}
	}
	slow := `{"model":"m1","prompt":"a prompt of some tokens, of which one is read each second"}`
	engine := startFake(fakeendpoint.Config{Models: []string{"m1"}})
	post(engine, "/v1/completions", "a1", slow)
	want(engine, "tokens of memory are still in use")
	post(engine, "/v1/completions", "a2", slow)
	want(engine, "concurrency violation by attempt a2")
	service := startFake(fakeendpoint.Config{Service: "booking"})
	post(service, "/book", "b1", `{"reference":"k"}`)
	post(service, "/book", "b2", `{"reference":"k"}`)
	want(service, "key k ran 2 times")
}

// A request for the state that is still pending when the time runs out must not hide the
// memory in use that the state before it showed.
func TestCheckReportsLastStateWhenTimeRunsOut(t *testing.T) {
	answered := false
	server := httpserver.Start(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if answered {
			<-q.Context().Done()
			return
		}
		answered = true
		if err := json.NewEncoder(w).Encode(fakeendpoint.State{MemoryTokensUsed: 7}); err != nil {
			t.Error(err)
		}
	}))
	e := &Endpoint{Process: &Process{Name: "e"}, HTTPAddress: strings.TrimPrefix(server.URL, "http://")}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := e.check(ctx); err == nil || !strings.Contains(err.Error(), "7 tokens of memory are still in use") {
		t.Errorf("got %v", err)
	}
}
