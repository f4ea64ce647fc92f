package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each request in the log, except the one named "good", has a different cause.
func TestEachRequestIsCountedUnderOneCause(t *testing.T) {
	const log = `
{"time":"2026-01-01T10:00:00.000Z","request":"good","endpoint":"e1","helpers":[],"predicted_first_ms":50,"waited":1,"message":"Endpoints were chosen."}
{"time":"2026-01-01T10:00:01.000Z","request":"good","outcome":"served","status":200,"message":"The request has its final answer."}
{"time":"2026-01-01T10:00:00.000Z","request":"paused","endpoint":"e1","helpers":[],"predicted_first_ms":50,"waited":1,"message":"Endpoints were chosen."}
{"time":"2026-01-01T10:00:00.500Z","request":"long","endpoint":"e2","helpers":["e1"],"predicted_first_ms":900,"waited":1,"message":"Endpoints were chosen."}
{"time":"2026-01-01T10:00:03.000Z","request":"long","outcome":"served","status":200,"message":"The request has its final answer."}
{"time":"2026-01-01T10:00:01.000Z","request":"paused","endpoint":"e1","objective":"pause","took":400,"allowed":250,"message":"The answer is late."}
{"time":"2026-01-01T10:00:02.000Z","request":"paused","outcome":"served","status":200,"message":"The request has its final answer."}
{"time":"2026-01-01T10:00:00.000Z","request":"slow","endpoint":"e3","helpers":[],"predicted_first_ms":100,"waited":1,"message":"Endpoints were chosen."}
{"time":"2026-01-01T10:00:00.800Z","request":"slow","endpoint":"e3","objective":"first","took":800,"allowed":300,"message":"The answer is late."}
{"time":"2026-01-01T10:00:09.000Z","request":"slow","outcome":"broken_off","error":"context canceled","message":"The request has its final answer."}
{"time":"2026-01-01T10:00:00.000Z","request":"told","endpoint":"e3","helpers":[],"predicted_first_ms":400,"waited":1,"message":"Endpoints were chosen."}
{"time":"2026-01-01T10:00:00.400Z","request":"told","endpoint":"e3","objective":"first","took":400,"allowed":300,"message":"The answer is late."}
{"time":"2026-01-01T10:00:02.000Z","request":"told","outcome":"served","status":200,"message":"The request has its final answer."}
{"time":"2026-01-01T10:00:00.000Z","request":"full","message":"No endpoint has room."}
{"time":"2026-01-01T10:00:00.000Z","request":"full","outcome":"overloaded","status":503,"message":"The request has its final answer."}
{"time":"2026-01-01T10:00:00.000Z","request":"limited","out_of_permits":true,"message":"No endpoint has room."}
{"time":"2026-01-01T10:00:00.000Z","request":"limited","outcome":"overloaded","status":503,"message":"The request has its final answer."}
{"time":"2026-01-01T10:00:00.000Z","request":"lost","endpoint":"e3","helpers":[],"message":"Endpoints were chosen."}
{"time":"2026-01-01T10:00:00.000Z","request":"bad","outcome":"prompt_quarantined","status":503,"message":"The request has its final answer."}
`
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if code := Run([]string{"causes", path}, &out, &errOut); code != ExitOK {
		t.Fatalf("code %d: %s", code, errOut.String())
	}
	for request, want := range map[string]string{
		"paused":  "1 late: pause between events, a part of another long prompt reached the endpoint meanwhile",
		"slow":    "1 cancelled by the caller or its timeout: first event late, far later than predicted, no part of another long prompt reached the endpoint meanwhile",
		"told":    "1 late: first event late, as predicted",
		"full":    "1 refused: no endpoint had room",
		"limited": "1 refused: the rate limits of all endpoints were used up",
		"bad":     "1 refused: a part of the prompt ends endpoints",
		"lost":    "1 no final answer: the process or its log ended first",
	} {
		found := false
		for line := range strings.Lines(out.String()) {
			found = found || strings.Join(strings.Fields(line), " ") == want+" "+request
		}
		if !found {
			t.Errorf("%s: %q is missing in\n%s", request, want, out.String())
		}
	}
	if strings.Contains(out.String(), "good") {
		t.Error("a request that was served on time is counted")
	}
}
