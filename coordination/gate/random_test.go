package gate_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// scenario is one random run: bursts of attempts around restarts that the gate
// is not told about.
type scenario struct {
	RestartsMs  []int  // after the start
	Disconnects []bool // whether the restart closes the connections
	ArrivalsMs  []int  // after the start, one for each attempt
	CancelsMs   []int  // after the attempt was submitted, 0 for none
	DelayMs     int    // from write to arrival
	EventGapMs  int    // between events
}

func drawScenario(t *rapid.T) scenario {
	n := rapid.IntRange(1, 3).Draw(t, "restarts")
	m := rapid.IntRange(30, 90).Draw(t, "attempts")
	p := scenario{
		RestartsMs:  rapid.SliceOfN(rapid.IntRange(1, 300), n, n).Draw(t, "at"),
		Disconnects: rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "kill"),
		CancelsMs:   rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 5, 30, 200, 400}), m, m).Draw(t, "cancels"),
		DelayMs:     rapid.IntRange(0, 5).Draw(t, "delay"),
		EventGapMs:  rapid.IntRange(5, 40).Draw(t, "gap"),
	}
	near := append([]int{0, 50, 100}, p.RestartsMs...)
	for i := range m {
		burst := rapid.SampledFrom(near).Draw(t, "burst")
		p.ArrivalsMs = append(p.ArrivalsMs, max(0, burst+rapid.IntRange(-3, 3).Draw(t, fmt.Sprint("shift", i))))
	}
	return p
}

// With random cancellations and restarts that the gate is not told about, the
// endpoint never exceeds its limit, every attempt ends, and no memory stays
// reserved.
func TestLoadAndMemoryUnderRandomRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawScenario(rt)
		var problems []string
		bubble.Run(t, func(t *testing.T) { problems = p.run(t) })
		if len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}

func (p scenario) run(t *testing.T) (problems []string) {
	e := newFakeEngine()
	e.delay = time.Duration(p.DelayMs) * time.Millisecond
	r := newGate(e, inService)
	defer r.stop()
	for i := range 20 {
		readAnswer(r.submit(t, newOpen(fmt.Sprint("warm", i), true)), 1)
	}
	e.setEventGap(time.Duration(p.EventGapMs) * time.Millisecond)
	ended := make(chan string, len(p.ArrivalsMs))
	for i, at := range p.ArrivalsMs {
		go func() {
			time.Sleep(time.Duration(at) * time.Millisecond)
			ended <- r.runToEnd(fmt.Sprint("a", i), time.Duration(p.CancelsMs[i])*time.Millisecond)
		}()
	}
	for i, at := range p.RestartsMs {
		go func() {
			time.Sleep(time.Duration(at) * time.Millisecond)
			if p.Disconnects[i] {
				e.restart(errReset)
			} else {
				e.restart(nil)
			}
		}()
	}
	for range p.ArrivalsMs {
		if problem := <-ended; problem != "" {
			problems = append(problems, problem)
		}
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	if used := r.ReservedTokens(); used != 0 {
		problems = append(problems, fmt.Sprintf("%d tokens stay reserved", used))
	}
	for id, n := range e.runs {
		if n > 1 {
			problems = append(problems, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	if left := e.activeIDs(); len(left) != 0 {
		problems = append(problems, fmt.Sprintf("%v left at the endpoint", left))
	}
	return append(problems, e.violations...)
}

// runToEnd runs one attempt to its end and returns a description of what went
// wrong, or "".
func (r *testGate) runToEnd(id string, cancelAfter time.Duration) string {
	a, refusal := r.Admit(newOpen(id, true))
	if refusal != nil {
		return ""
	}
	a.AddReader()
	a.Submit(nil)
	if cancelAfter > 0 {
		time.AfterFunc(cancelAfter, a.Cancel)
	}
	text, last := readAnswer(a, 1)
	r.engine.mu.Lock()
	runs := r.engine.runs[id]
	r.engine.mu.Unlock()
	switch {
	case last.GetRefused() != nil && runs > 0:
		return id + " ran and was refused"
	case last.GetRefused() == nil && last.GetEnd() == nil:
		return id + " has no last message"
	case last.GetEnd() != nil && last.GetEnd().Failure == nil && text != wholeAnswer(4):
		return id + " is incomplete: " + text
	}
	return ""
}
