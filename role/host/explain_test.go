package host

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/serve"
	"github.com/apricotspoke/apricotspoke/ctl"
	"github.com/apricotspoke/apricotspoke/protocol/explanation"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/state/hostconfig"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

// Guards against a page that asks another question than the query, takes a key, or is
// served instead of the metrics.
func TestExplainPage(t *testing.T) {
	var asked serve.Question
	m := &Metrics{process: &hostconfig.Process{}, registry: metrics.New(), explain: &explainPage{explain: func(q serve.Question) (*explanation.Answer, error) {
		asked = q
		if q.Organisation == "unknown" {
			return nil, fault.New(fault.NotFound, "no organisation")
		}
		return &explanation.Answer{Route: "r"}, nil
	}}}
	m.registry.Count("requests", metrics.Labels{Class: "x"})
	server, err := m.serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	call := func(method, target string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		server.Handler.ServeHTTP(w, httptest.NewRequest(method, target, nil))
		return w
	}
	const whole = "/explain?host=h&path=%2Fa%3Fb&prompt_tokens=12&output_tokens=3&organisation=o"
	var answer explanation.Answer
	if w := call(http.MethodGet, whole); w.Code != http.StatusOK || json.Unmarshal(w.Body.Bytes(), &answer) != nil || answer.Route != "r" {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	if want := (serve.Question{Host: "h", Path: "/a?b", PromptTokens: 12, OutputTokens: 3, Organisation: "o"}); asked != want {
		t.Errorf("asked %+v, want %+v", asked, want)
	}
	for target, want := range map[string]string{
		"/explain?host=h": "must be given",
		"/explain?host=h&path=%2F&prompt_tokens=many":                "whole number",
		"/explain?host=h&path=%2F&api_key=k":                         "name the organisation",
		"/explain?host=h&path=%2F&promt_tokens=1":                    "unknown",
		"/explain?host=h&host=g&path=%2F":                            "more than once",
		"/explain?host=h&path=" + url.QueryEscape(longText):          "longer than",
		"/explain?host=h&path=%2F&organisation=unknown":              "no organisation",
		"/explain?host=h&path=%2F;x":                                 "can't be parsed",
		"/explain?host=h&path=%2F&prompt_tokens=9999999999999999999": "whole number",
	} {
		var failure explanation.Failure
		w := call(http.MethodGet, target)
		if json.Unmarshal(w.Body.Bytes(), &failure) != nil || !strings.Contains(failure.Message, want) || failure.Remedy == "" || w.Code != failure.Kind.Status() {
			t.Errorf("%.60s: status %d: %s", target, w.Code, w.Body)
		}
	}
	if w := call(http.MethodPost, whole); w.Code != http.StatusBadRequest {
		t.Errorf("POST: status %d", w.Code)
	}
	for _, path := range []string{"/metrics", "/"} {
		if w := call(http.MethodGet, path); !strings.Contains(w.Body.String(), "requests") || !strings.HasPrefix(w.Header().Get("Content-Type"), "text/plain") {
			t.Errorf("%s: %s", path, w.Body)
		}
	}
}

var longText = strings.Repeat("p", maxExplainText+1)

// Guards against an entry whose metrics server doesn't serve the page, and against
// endpoints that the page doesn't know.
func TestOperatorsLearnWhereARequestWouldGo(t *testing.T) {
	p, _, _ := startFleet(t)
	const host, organisation = 5, "boots"
	metricsPort := p.ports[2] // for operators, of which an entry has no use
	p.arguments = []string{"--metrics-port", fmt.Sprint(metricsPort)}
	p.start("entry", host, false, true)
	p.awaitReady(host)
	address := fmt.Sprintf("%s:%d", p.host(host), metricsPort)
	explain := func() (code int, answer explanation.Answer, text string) {
		var out bytes.Buffer
		code = ctl.Run([]string{"explain", "--entry", address, "--host", "site.example", "--path", "/once/x", "--prompt-tokens", "100", "--organisation", organisation, "--output", "json"}, &out, &out)
		_ = json.Unmarshal(out.Bytes(), &answer) // an error leaves the answer empty
		return code, answer, out.String()
	}
	p.await("both endpoints are explained", func() bool {
		code, answer, _ := explain()
		return code == ctl.ExitOK && answer.StateCurrent && answer.Plan != nil && len(answer.Endpoints) == 2
	})
	if _, answer, text := explain(); answer.Route != "once" || answer.Organisation != organisation || answer.Refusal != nil {
		t.Error(text)
	}
	if status, text, _ := call("GET", "http://"+address+"/metrics", nil, nil); status != 200 || !strings.Contains(text, "ledger_own_work 0\n") {
		t.Errorf("status %d: %s", status, text)
	}
}
