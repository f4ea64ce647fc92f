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
	longTokens    = 1_000_000
	segmentTokens = 450_000 // memory of each endpoint
	longLimit     = 90 * time.Second
)

func longPrompt(name string) string {
	line := fmt.Sprintf("%-15s\n", name)
	return strings.Repeat(line, longTokens*4/len(line))
}

func smallEngines(count int) []cluster.EndpointOptions {
	var list []cluster.EndpointOptions
	for i := range count {
		list = append(list, engine(fmt.Sprintf("e%d", i+1), fmt.Sprintf("dc%d", i%3+1), fmt.Sprintf("--memory-tokens=%d", segmentTokens)))
	}
	return list
}

// startLong starts a longest prompt and waits until one endpoint prefills while
// another keeps a segment. It sends again while it is refused as not run.
func (f *fixture) startLong(name string) (s *stream, prefilling, keeping *cluster.Endpoint) {
	f.t.Helper()
	s = f.startStream(0, longPrompt(name), 40)
	for until := time.Now().Add(serveLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		select {
		case <-s.ended:
			if !s.result.NotRun() {
				f.t.Fatalf("%s: %s", name, describe(s.result))
			}
			time.Sleep(resendPause)
			s = f.startStream(0, longPrompt(name), 40)
		default:
		}
		if prefilling, keeping = f.segments(); prefilling != nil && keeping != nil {
			return s, prefilling, keeping
		}
	}
	f.t.Fatal("no endpoint prefills")
	return nil, nil, nil
}

func (f *fixture) segments() (prefilling, keeping *cluster.Endpoint) {
	for _, e := range f.Endpoints {
		state, err := e.State(f.t.Context())
		switch {
		case err != nil:
		case state.Running > 0:
			prefilling = e
		case state.MemoryTokensUsed > 0:
			keeping = e
		}
	}
	return prefilling, keeping
}

// A prompt of more than twice an endpoint's memory is answered whole; whoever
// dies meanwhile, all memory is freed and the next one is answered.
func TestLongestPromptOverAGroup(t *testing.T) {
	t.Parallel()
	f := start(t, false, smallEngines(4)...)
	f.completeWithin(longLimit, 0, longPrompt("first"), 40)
	f.checkInvariants()

	deaths := []struct {
		name string
		kill func(prefilling, keeping *cluster.Endpoint)
	}{
		{"entry", func(_, _ *cluster.Endpoint) { f.must(f.Entries[0].Kill()); f.must(f.Entries[0].Start()) }},
		{"gate that prefills", func(e, _ *cluster.Endpoint) { f.must(e.Agent.Kill()); f.must(e.Agent.Start()) }},
		{"gate that keeps a segment", func(_, e *cluster.Endpoint) { f.must(e.Agent.Kill()); f.must(e.Agent.Start()) }},
		{"endpoint turned cold", func(e, _ *cluster.Endpoint) { f.must(e.Restart(t.Context(), false)) }},
		{"endpoint", func(e, _ *cluster.Endpoint) { f.must(e.Kill()) }},
	}
	for _, death := range deaths {
		s, prefilling, keeping := f.startLong(death.name)
		death.kill(prefilling, keeping)
		if !s.honest() {
			t.Errorf("death of %s: %s", death.name, describe(s.result))
		}
		t.Logf("death of %s: right %v: %s", death.name, s.right(), describe(s.result))
		f.checkInvariants()
		f.awaitServed(0)
		f.completeWithin(longLimit, 0, longPrompt("after "+death.name), 40)
		f.checkInvariants()
	}
}

// Two at once on a fleet with room for one: each is answered or refused at once,
// and sending again answers both.
func TestTwoLongestPromptsAtOnce(t *testing.T) {
	t.Parallel()
	f := start(t, false, smallEngines(3)...)
	var both sync.WaitGroup
	for i := range 2 {
		both.Go(func() { f.completeWithin(longLimit, i, longPrompt(fmt.Sprint("twin ", i)), 40) })
	}
	both.Wait()
	f.checkInvariants()
}
