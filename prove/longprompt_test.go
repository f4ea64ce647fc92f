//go:build prove

package prove

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/cluster"
)

const (
	longPromptTokens     = 1_000_000
	endpointMemoryTokens = 450_000 // so that a long prompt needs three endpoints
	longPromptTimeout    = 90 * time.Second
)

// longPrompt returns a prompt of longPromptTokens tokens, at 4 bytes a token, that
// repeats name. One endpoint cannot hold it: it is computed in segments, each on
// another endpoint.
func longPrompt(name string) string {
	line := fmt.Sprintf("%-15s\n", name)
	return strings.Repeat(line, longPromptTokens*4/len(line))
}

func smallEngines(count int) []cluster.EndpointOptions {
	var list []cluster.EndpointOptions
	for i := range count {
		list = append(list, engineOptions(fmt.Sprintf("e%d", i+1), fmt.Sprintf("dc%d", i%3+1), fmt.Sprintf("--memory-tokens=%d", endpointMemoryTokens)))
	}
	return list
}

// startLongPrompt sends a long prompt and waits until one endpoint runs an
// attempt, taken for its prefill, while another keeps the segment that it has
// computed. It sends again while the prompt is refused as not run.
func (f *fixture) startLongPrompt(name string) (s *stream, prefilling, holding *cluster.Endpoint) {
	f.t.Helper()
	s = f.startStream(0, longPrompt(name), 40)
	for until := time.Now().Add(serveTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		select {
		case <-s.done:
			if !s.result.NotRun() {
				f.t.Fatalf("%s: %s", name, describe(s.result))
			}
			time.Sleep(retryInterval)
			s = f.startStream(0, longPrompt(name), 40)
		default:
		}
		if prefilling, holding = f.segmentHolders(); prefilling != nil && holding != nil {
			return s, prefilling, holding
		}
	}
	f.t.Fatal("no endpoint prefills while another holds a segment")
	return nil, nil, nil
}

// segmentHolders returns an endpoint that runs an attempt, and one that runs none
// but has memory in use, taken for a segment; nil if there is none.
func (f *fixture) segmentHolders() (prefilling, holding *cluster.Endpoint) {
	for _, e := range f.Endpoints {
		state, err := e.State(f.t.Context())
		switch {
		case err != nil:
		case state.Running > 0:
			prefilling = e
		case state.MemoryTokensUsed > 0:
			holding = e
		}
	}
	return prefilling, holding
}

// A prompt of more than twice an endpoint's memory is answered completely. If a
// process that takes part in it fails, all memory is freed and the next long
// prompt is answered.
func TestLongPromptOverSeveralEndpoints(t *testing.T) {
	t.Parallel()
	f := startFleet(t, false, smallEngines(4)...)
	f.completeWithin(longPromptTimeout, 0, longPrompt("first"), 40)
	f.checkInvariants()

	failures := []struct {
		name string
		kill func(prefilling, holding *cluster.Endpoint)
	}{
		{"entry", func(_, _ *cluster.Endpoint) { f.must(f.Entries[0].Kill()); f.must(f.Entries[0].Start()) }},
		{"gate that prefills", func(e, _ *cluster.Endpoint) { f.must(e.Agent.Kill()); f.must(e.Agent.Start()) }},
		{"gate that keeps a segment", func(_, e *cluster.Endpoint) { f.must(e.Agent.Kill()); f.must(e.Agent.Start()) }},
		{"endpoint turned cold", func(e, _ *cluster.Endpoint) { f.must(e.Restart(t.Context(), false)) }},
		{"endpoint", func(e, _ *cluster.Endpoint) { f.must(e.Kill()) }},
	}
	for _, failure := range failures {
		s, prefilling, holding := f.startLongPrompt(failure.name)
		failure.kill(prefilling, holding)
		if !s.correctPrefix() {
			t.Errorf("failure of %s: %s", failure.name, describe(s.result))
		}
		t.Logf("failure of %s: correct %v: %s", failure.name, s.correct(), describe(s.result))
		f.checkInvariants()
		f.awaitServed(0)
		f.completeWithin(longPromptTimeout, 0, longPrompt("after "+failure.name), 40)
		f.checkInvariants()
	}
}

// Two long prompts at once on a fleet with memory for one: each is answered or
// refused as not run, and both are answered when callers send again.
func TestTwoLongPromptsAtOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, false, smallEngines(3)...)
	var both sync.WaitGroup
	for i := range 2 {
		both.Go(func() { f.completeWithin(longPromptTimeout, i, longPrompt(fmt.Sprint("twin ", i)), 40) })
	}
	both.Wait()
	f.checkInvariants()
}
