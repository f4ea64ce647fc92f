package fakeendpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/completions"
	"github.com/apricotspoke/apricotspoke/trials/httpserver"
)

func startEndpoint(t *testing.T, change func(*Config)) (*Endpoint, string) {
	t.Helper()
	config := Config{
		Name: "e1", Models: []string{"m1"}, MemoryTokens: 100_000, PrefillTokensPerSecond: 1e6,
		DecodePerToken: time.Millisecond, Concurrency: 8, ColdConcurrency: 2, Seed: 1,
	}
	change(&config)
	e := New(config)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	server := httpserver.Start(t, e.Handler())
	return e, server.URL
}

func send(t *testing.T, method, url, attempt, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerAttempt, attempt)
	return http.DefaultClient.Do(request)
}

// readStream returns the text of a stream and the IDs of its events.
func readStream(t *testing.T, body io.Reader) (text string, ids []string) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event completion
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatal(err)
		}
		text += *event.Choices[0].Text
	}
	return text, ids
}

func TestResumedStreamContinuesWithTheSameBytes(t *testing.T) {
	_, url := startEndpoint(t, func(*Config) {})
	body := `{"model":"m1","prompt":"patch for Dinamo","max_tokens":20,"stream":true}`
	response, err := send(t, "POST", url+"/v1/completions", "a1", body)
	if err != nil {
		t.Fatal(err)
	}
	whole, ids := readStream(t, response.Body)
	want := completions.Text("patch for Dinamo", 20)
	if whole != want || len(ids) != 21 {
		t.Fatalf("text %q in %d events, want %q in 21", whole, len(ids), want)
	}
	response, err = send(t, "GET", url+"/v1/attempts/a1/stream?from=6", "", "")
	if err != nil {
		t.Fatal(err)
	}
	rest, ids := readStream(t, response.Body)
	if rest != want[5*completions.BytesPerToken:] || ids[0] != "6" {
		t.Fatalf("resumed text %q from %s", rest, ids[0])
	}
}

func TestAttemptAboveTheColdLimitIsAViolation(t *testing.T) {
	e, url := startEndpoint(t, func(c *Config) { c.DecodePerToken = time.Hour })
	boot := e.State().BootID
	for i := range 2 {
		response, err := send(t, "POST", url+"/v1/completions", fmt.Sprint(i), `{"model":"m1","prompt":"x","stream":true}`)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
	}
	if state := e.State(); len(state.Violations) != 0 || state.Running != 2 {
		t.Fatalf("before the violation: %+v", state)
	}
	if _, err := send(t, "POST", url+"/v1/completions", "2", `{"model":"m1","prompt":"x"}`); err == nil {
		t.Error("the attempt above the limit was answered")
	}
	state := e.State()
	if len(state.Violations) != 1 || state.Violations[0].Kind != ViolationConcurrency {
		t.Errorf("violations %+v", state.Violations)
	}
	if state.BootID == boot || state.Running != 0 || state.MemoryTokensUsed != 0 {
		t.Errorf("the endpoint did not restart: %+v", state)
	}
}

func TestFinishedAttemptsRaiseTheColdLimitAndCancelledOnesDoNot(t *testing.T) {
	e, url := startEndpoint(t, func(*Config) {})
	for i := range 3 {
		response, err := send(t, "POST", url+"/v1/completions", fmt.Sprint(i), `{"model":"m1","prompt":"x"}`)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	response, err := send(t, "POST", url+"/v1/completions", "long", `{"model":"m1","prompt":"x","max_tokens":50000,"stream":true}`)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if used := e.State().MemoryTokensUsed; used != 50001 {
		t.Errorf("memory in use %d", used)
	}
	if _, err := send(t, "DELETE", url+"/v1/attempts/long", "", ""); err != nil {
		t.Fatal(err)
	}
	if used := e.State().MemoryTokensUsed; used != 0 {
		t.Errorf("memory in use after cancel %d", used)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if got := e.admissible(); got != 2+3 {
		t.Errorf("admissible %d", got)
	}
}

func TestStaleOrdersAreRefusedOnlyWithFencingChecks(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, url := startEndpoint(t, func(c *Config) { c.ChecksFencing = checks })
		want := map[bool]int{true: http.StatusConflict, false: http.StatusOK}[checks]
		for _, order := range []struct{ number, status int }{{7, http.StatusOK}, {6, want}, {7, want}} {
			response, err := send(t, "POST", url+"/orders", "", fmt.Sprintf(`{"number":%d,"kind":"change_role","argument":"both"}`, order.number))
			if err != nil || response.StatusCode != order.status {
				t.Errorf("checks %v: number %d answered %v, %v", checks, order.number, response.Status, err)
			}
		}
	}
}

func TestServiceCountsRunsByKeyAndAttempt(t *testing.T) {
	e, url := startEndpoint(t, func(c *Config) { c.Service = "booking" })
	for range 2 {
		if _, err := send(t, "POST", url+"/book", "a1", `{"reference":"dish 4"}`); err != nil {
			t.Fatal(err)
		}
	}
	state := e.State()
	if state.RunsByKey["dish 4"] != 2 || state.RunsByAttempt["a1"] != 2 || state.Running != 0 {
		t.Errorf("state %+v", state)
	}
}
