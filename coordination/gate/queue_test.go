package gate

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Short attempts pass one that waits for memory, and those that passed always
// leave enough of the whole for it.
func TestPassingLeavesRoomForTheOneThatWaits(t *testing.T) {
	now := time.Now()
	g := &Gate{memory: newMemory(), running: make(map[string]*Attempt)}
	g.memory.total = 1000
	g.memory.take("running", 500)
	add := func(id string, tokens uint64, since time.Time) {
		a := &Attempt{open: &wire.AttemptOpen{Attempt: id, PromptTokens: tokens}}
		g.queue.add(&waiting{attempt: a, prefill: tokens, since: since})
	}
	add("large", 800, now.Add(-time.Minute))
	for _, id := range []string{"a", "b", "c", "d"} {
		add(id, 90, now)
	}
	fits := func(a *Attempt) bool { return g.memory.take(a.open.Attempt, a.tokens()) }
	for {
		a := g.queue.next(now, fits, g.passes)
		if a == nil {
			break
		}
		g.running[a.open.Attempt] = a
	}
	if len(g.running) != 2 {
		t.Errorf("%d passed, there is room for 2", len(g.running))
	}
	g.memory.give("running")
	if a := g.queue.next(now, fits, g.passes); a == nil || a.open.Attempt != "large" {
		t.Error("the one that waits does not go on once the rest has ended")
	}
}
