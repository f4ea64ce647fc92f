package host

import (
	"encoding/json"
	"strings"
	"testing"
)

// logLines returns a process's log lines with a request's id and a message.
func (p *fakePlatform) logLines(process, request, message string) []map[string]any {
	var found []map[string]any
	for text := range strings.Lines(p.log(process)) {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == request && line["message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// finalLine waits for the final log line of a request and returns it.
func (p *fakePlatform) finalLine(process, request string) map[string]any {
	var last map[string]any
	p.await("the final line of "+request, func() bool {
		if found := p.logLines(process, request, "The request has its final answer."); len(found) == 1 {
			last = found[0]
		}
		return last != nil
	})
	return last
}

func checkFields(t *testing.T, line map[string]any, want map[string]any) {
	t.Helper()
	for field, value := range want {
		if line[field] != value {
			t.Errorf("%s is %v, not %v, in %v", field, line[field], value, line)
		}
	}
}

func TestLogLinesOfARequest(t *testing.T) {
	p, first, second := startFleet(t)
	p.request(1, "/once/x", "key", "good")
	checkFields(t, p.finalLine("entry1", "good"), map[string]any{
		"level": "info", "outcome": "served", "status": 200.0, "organisation": "boots", "version": 5.0, "sends": 1.0, "may_have_run": 1.0, "error": nil,
	})
	chosen := p.logLines("entry1", "good", "Endpoints were chosen.")
	if len(chosen) != 1 {
		t.Fatalf("%d lines about the choice of endpoints", len(chosen))
	}
	ran, other := first, second
	if second.runCount("good") == 1 {
		ran, other = second, first
	}
	checkFields(t, chosen[0], map[string]any{"endpoint": ran.id, "runner_up": other.id, "candidates": 2.0, "version": 5.0})
	if age, known := chosen[0]["state_age"].(float64); !known || age < 0 {
		t.Errorf("the age of the state is %v", chosen[0]["state_age"])
	}

	p.request(1, "/once/x", "wrong", "refused")
	refused := p.finalLine("entry1", "refused")
	checkFields(t, refused, map[string]any{"level": "warn", "outcome": "unauthenticated", "status": 401.0, "sends": 0.0, "may_have_run": 0.0, "organisation": ""})
	if text, _ := refused["error"].(string); !strings.Contains(text, "organisation") {
		t.Errorf("the error is %q", text)
	}

	first.behaviour.Store("cut")
	second.behaviour.Store("cut")
	p.request(1, "/stream/x", "key", "cut")
	last := p.finalLine("entry1", "cut")
	failed := p.logLines("entry1", "cut", "An attempt failed.")
	if len(failed) != 2 || failed[0]["endpoint"] == failed[1]["endpoint"] {
		t.Fatalf("the lines of failed attempts are %v", failed)
	}
	checkFields(t, failed[1], map[string]any{"level": "warn", "send": 2.0, "begun": true, "last_event": last["last_event"]})
	checkFields(t, last, map[string]any{"level": "warn", "outcome": "broken_off", "sends": 2.0, "may_have_run": 2.0})
}
