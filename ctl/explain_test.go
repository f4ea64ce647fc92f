package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/explanation"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// explainWith runs the command against a stand-in entry.
func explainWith(t *testing.T, handler http.HandlerFunc, args ...string) (code int, out, errOut string) {
	t.Helper()
	entry := httptest.NewServer(handler)
	defer entry.Close()
	var o, e bytes.Buffer
	all := append([]string{"explain", "--entry", strings.TrimPrefix(entry.URL, "http://"), "--host", "h", "--path", "/a b", "--prompt-tokens", "7"}, args...)
	code = Run(all, &o, &e)
	return code, o.String(), e.String()
}

func TestExplainPrintsWhatTheEntryAnswers(t *testing.T) {
	age := int64(120)
	answer := explanation.Answer{
		CatalogueVersion: 9, StateAgeMs: &age, Route: "r", Service: "s",
		Plan:      &explanation.Plan{Main: "e1", Helpers: []explanation.Helper{{Endpoint: "e2", ReserveTokens: 500}}, RunnerUp: "e3", ReportAgeMs: &age},
		Queue:     &explanation.Queue{Waits: true, Place: 4, Waiting: 6},
		Refusal:   &explanation.Refusal{Kind: fault.Overloaded, Message: "no room", RetryAfterMs: 250},
		Endpoints: []explanation.Endpoint{{Endpoint: "e1", Role: "main"}, {Endpoint: "e4", Reason: "busy", ForMs: 1500}}, EndpointsOmitted: 3,
	}
	var query string
	entry := func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.Path + "?" + r.URL.RawQuery
		_ = json.NewEncoder(w).Encode(answer)
	}
	code, out, errOut := explainWith(t, entry, "--organisation", "o")
	if code != ExitOK || query != "/explain?host=h&organisation=o&path=%2Fa+b&prompt_tokens=7" {
		t.Fatalf("code %d, asked %s: %s", code, query, errOut)
	}
	for _, want := range []string{"version 9", "not current, confirmed 120ms ago", "e2, reserve 500 tokens", "place 4, 6 waiting, waits: yes", "overloaded after 0s", "Retry-After 250ms", "busy", "1.5s", "3 more"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing in\n%s", want, out)
		}
	}
	var parsed explanation.Answer
	_, out, _ = explainWith(t, entry, "--output", "json", "--output-tokens", "3")
	if err := json.Unmarshal([]byte(out), &parsed); err != nil || parsed.Plan.Main != "e1" || !strings.Contains(query, "output_tokens=3") {
		t.Errorf("%v, asked %s: %s", err, query, out)
	}
}

// Guards against failures of which an operator is not told what to do.
func TestExplainTellsTheRemedyOfAFailure(t *testing.T) {
	code, _, errOut := explainWith(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(explanation.Failure{Kind: fault.NotFound, Message: "no route matches h/a"})
	})
	if code != ExitNotFound || !strings.Contains(errOut, "no route matches h/a; check the name") {
		t.Errorf("code %d: %s", code, errOut)
	}
	for name, answer := range map[string]string{"metrics": "state_index 1\n", "too long": strings.Repeat(" ", maxExplanationBytes+1)} {
		code, _, errOut = explainWith(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) })
		if code != ExitUsage || !strings.Contains(errOut, "--entry") {
			t.Errorf("%s: code %d: %s", name, code, errOut)
		}
	}
	var out bytes.Buffer
	if code := Run([]string{"explain", "--entry", "127.0.0.1:1", "--host", "h", "--path", "/", "--prompt-tokens", "1"}, &out, &out); code != ExitUnavailable || !strings.Contains(out.String(), "--entry") {
		t.Errorf("code %d: %s", code, out.String())
	}
}
