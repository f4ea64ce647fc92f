package workload

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestPlansAreDeterministicAndTwoPercentAreLong(t *testing.T) {
	for _, name := range []string{"kartuli", "kitamura", "target"} {
		w, err := Named(name)
		if err != nil {
			t.Fatal(err)
		}
		plan := w.Plan(7, 100, 200*time.Second)
		if !reflect.DeepEqual(plan, w.Plan(7, 100, 200*time.Second)) {
			t.Errorf("%s: equal seeds gave different plans", name)
		}
		long := 0
		for _, p := range plan {
			if p.PromptTokens > 100_000 {
				long++
			}
		}
		if part := float64(long) / float64(len(plan)); part < 0.015 || part > 0.025 {
			t.Errorf("%s: %.4f of %d prompts are longer than 100,000 tokens", name, part, len(plan))
		}
	}
}

func TestPromptsHaveTheirLengthAndShareAPrefix(t *testing.T) {
	texts := NewPrompts(1)
	a := texts.Prompt(PlannedRequest{Number: 1, Organisation: "club1", PromptTokens: 9000})
	b := texts.Prompt(PlannedRequest{Number: 2, Organisation: "club1", PromptTokens: 9000})
	if len(a) != 36_000 || a == b {
		t.Errorf("lengths %d and %d", len(a), len(b))
	}
	if !strings.HasPrefix(b, a[:sharedPrefixTokens*promptBytesPerToken]) {
		t.Error("two prompts of an organisation share no prefix")
	}
}
