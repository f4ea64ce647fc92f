package gate

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Short attempts may overtake one that waits for memory, but those that
// overtook must always leave enough of the total memory for it. Otherwise a
// large prompt is starved.
func TestOvertakingLeavesMemoryForWaitingAttempt(t *testing.T) {
	now := time.Now()
	g := &Gate{memory: newMemoryLedger(), running: make(map[string]*Attempt)}
	g.memory.total = 1000
	g.memory.reserve("running", 500)
	add := func(id string, tokens uint64, since time.Time) {
		a := &Attempt{open: &wire.AttemptOpen{Attempt: id, PromptTokens: tokens}}
		g.queue.add(&queuedAttempt{attempt: a, prefillTokens: tokens, queuedAt: since})
	}
	add("large", 800, now.Add(-time.Minute))
	for _, id := range []string{"a", "b", "c", "d"} {
		add(id, 90, now)
	}
	fits := func(a *Attempt) bool { return g.memory.reserve(a.open.Attempt, a.tokens()) }
	for {
		a := g.queue.takeNext(now, fits, g.mayOvertake)
		if a == nil {
			break
		}
		g.running[a.open.Attempt] = a
	}
	if len(g.running) != 2 {
		t.Errorf("%d attempts overtook, there is memory for 2", len(g.running))
	}
	g.memory.release("running")
	if a := g.queue.takeNext(now, fits, g.mayOvertake); a == nil || a.open.Attempt != "large" {
		t.Error("the waiting attempt is not dispatched after another one has ended")
	}
}
