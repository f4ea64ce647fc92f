package gate_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// plan is one random run: bursts of attempts around unnoticed restarts.
type plan struct {
	Restarts []int  // milliseconds
	Kill     []bool // whether the restart breaks connections
	Bursts   []int  // milliseconds, one for each attempt
	Cancels  []int  // milliseconds after the start, 0 for none
	Delay    int    // milliseconds from write to arrival
	Gap      int    // milliseconds between events
}

func drawPlan(t *rapid.T) plan {
	n := rapid.IntRange(1, 3).Draw(t, "restarts")
	m := rapid.IntRange(30, 90).Draw(t, "attempts")
	p := plan{
		Restarts: rapid.SliceOfN(rapid.IntRange(1, 300), n, n).Draw(t, "at"),
		Kill:     rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "kill"),
		Cancels:  rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 5, 30, 200, 400}), m, m).Draw(t, "cancels"),
		Delay:    rapid.IntRange(0, 5).Draw(t, "delay"),
		Gap:      rapid.IntRange(5, 40).Draw(t, "gap"),
	}
	near := append([]int{0, 50, 100}, p.Restarts...)
	for i := range m {
		burst := rapid.SampledFrom(near).Draw(t, "burst")
		p.Bursts = append(p.Bursts, max(0, burst+rapid.IntRange(-3, 3).Draw(t, fmt.Sprint("shift", i))))
	}
	return p
}

// Whatever dies or is cancelled, whenever the endpoint restarts unnoticed: it
// never carries more than it can, every attempt ends, and no memory stays
// reserved.
func TestLoadAndMemoryUnderRandomDeaths(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var problems []string
		bubble.Run(t, func(t *testing.T) { problems = p.run(t) })
		if len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}

func (p plan) run(t *testing.T) (problems []string) {
	e := newEngine()
	e.delay = time.Duration(p.Delay) * time.Millisecond
	r := newRig(e, inService)
	defer r.stop()
	for i := range 20 {
		collect(r.submit(t, open(fmt.Sprint("warm", i), true)), 1)
	}
	e.setPace(time.Duration(p.Gap) * time.Millisecond)
	ended := make(chan string, len(p.Bursts))
	for i, at := range p.Bursts {
		go func() {
			time.Sleep(time.Duration(at) * time.Millisecond)
			ended <- r.once(fmt.Sprint("a", i), time.Duration(p.Cancels[i])*time.Millisecond)
		}()
	}
	for i, at := range p.Restarts {
		go func() {
			time.Sleep(time.Duration(at) * time.Millisecond)
			if p.Kill[i] {
				e.restart(errReset)
			} else {
				e.restart(nil)
			}
		}()
	}
	for range p.Bursts {
		if fault := <-ended; fault != "" {
			problems = append(problems, fault)
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
	if left := e.left(); len(left) != 0 {
		problems = append(problems, fmt.Sprintf("%v left at the endpoint", left))
	}
	return append(problems, e.breaches...)
}

// once carries one attempt to its end and names what was wrong with that.
func (r *rig) once(id string, cancelAfter time.Duration) string {
	a, refusal := r.Admit(open(id, true))
	if refusal != nil {
		return ""
	}
	a.AddReader()
	a.Submit(nil)
	if cancelAfter > 0 {
		time.AfterFunc(cancelAfter, a.Cancel)
	}
	text, last := collect(a, 1)
	r.engine.mu.Lock()
	runs := r.engine.runs[id]
	r.engine.mu.Unlock()
	switch {
	case last.GetRefused() != nil && runs > 0:
		return id + " ran and was refused"
	case last.GetRefused() == nil && last.GetEnd() == nil:
		return id + " has no end"
	case last.GetEnd() != nil && last.GetEnd().Failure == nil && text != wholeAnswer(4):
		return id + " is not whole: " + text
	}
	return ""
}
