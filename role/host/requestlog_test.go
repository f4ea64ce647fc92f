package host

import (
	"encoding/json"
	"strings"
	"testing"
)

// lines returns a process's log lines about a request with a message.
func (p *provider) lines(process, request, message string) []map[string]any {
	var found []map[string]any
	for text := range strings.Lines(p.log(process)) {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == request && line["message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// story waits for a request's final line and returns it.
func (p *provider) story(process, request string) map[string]any {
	var last map[string]any
	p.until("the final line of "+request, func() bool {
		if found := p.lines(process, request, "The request has its final answer."); len(found) == 1 {
			last = found[0]
		}
		return last != nil
	})
	return last
}

// holds checks fields of a line.
func holds(t *testing.T, line map[string]any, want map[string]any) {
	t.Helper()
	for field, value := range want {
		if line[field] != value {
			t.Errorf("%s is %v, not %v, in %v", field, line[field], value, line)
		}
	}
}

func TestTheLinesOfARequestAreThereAndTrue(t *testing.T) {
	p, first, second := fleet(t)
	p.client(1, "/once/x", "key", "good")
	holds(t, p.story("entry1", "good"), map[string]any{
		"level": "info", "outcome": "served", "status": 200.0, "organisation": "boots", "version": 5.0, "sends": 1.0, "may_have_run": 1.0, "error": nil,
	})
	chosen := p.lines("entry1", "good", "Endpoints were chosen.")
	if len(chosen) != 1 {
		t.Fatalf("%d choices", len(chosen))
	}
	ran, other := first, second
	if second.ran("good") == 1 {
		ran, other = second, first
	}
	holds(t, chosen[0], map[string]any{"endpoint": ran.id, "runner_up": other.id, "candidates": 2.0, "version": 5.0})
	if age, known := chosen[0]["state_age"].(float64); !known || age < 0 {
		t.Errorf("the age of the state is %v", chosen[0]["state_age"])
	}

	p.client(1, "/once/x", "wrong", "refused")
	refused := p.story("entry1", "refused")
	holds(t, refused, map[string]any{"level": "warn", "outcome": "unauthenticated", "status": 401.0, "sends": 0.0, "may_have_run": 0.0, "organisation": ""})
	if text, _ := refused["error"].(string); !strings.Contains(text, "organisation") {
		t.Errorf("the error is %q", text)
	}

	first.behaviour.Store("cut")
	second.behaviour.Store("cut")
	p.client(1, "/stream/x", "key", "cut")
	last := p.story("entry1", "cut")
	failed := p.lines("entry1", "cut", "An attempt failed.")
	if len(failed) != 2 || failed[0]["endpoint"] == failed[1]["endpoint"] {
		t.Fatalf("the attempts that failed: %v", failed)
	}
	holds(t, failed[1], map[string]any{"level": "warn", "send": 2.0, "begun": true, "last_event": last["last_event"]})
	holds(t, last, map[string]any{"level": "warn", "outcome": "broken_off", "sends": 2.0, "may_have_run": 2.0})
}
