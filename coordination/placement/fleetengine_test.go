package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// fleetAnswer is one answer in progress.
type fleetAnswer struct {
	kind        requestKind
	plan        *Plan
	outcome     *outcome
	prompt      int
	arrived     time.Time
	partsLeft   int // still to be prefilled
	eventsLeft  int // still to be decoded
	lastEventAt time.Time
	late        bool
}

// fleetPart is the part of a prompt that one engine prefills.
type fleetPart struct {
	answer  *fleetAnswer
	prefill enginemodel.Prefill
	helper  bool
}

// fleetEngine works in passes, as the documentation of the engines describes.
type fleetEngine struct {
	fleet    *fleet
	model    *catalogue.Engine
	decoding []*fleetAnswer
	waiting  []*fleetPart
	busy     bool
}

// enqueue adds a part, a helper's part before all others.
func (e *fleetEngine) enqueue(p *fleetPart) {
	if p.helper {
		e.waiting = append([]*fleetPart{p}, e.waiting...)
	} else {
		e.waiting = append(e.waiting, p)
	}
	e.startPass()
}

// startPass runs one pass: all its steps while answers are decoded, else one prefill
// step.
func (e *fleetEngine) startPass() {
	if e.busy || len(e.decoding)+len(e.waiting) == 0 {
		return
	}
	e.busy = true
	room, ms := float64(e.model.ChunkTokens), e.model.StepMs
	if len(e.decoding) > 0 {
		context := 0
		for _, a := range e.decoding {
			context += a.prompt
		}
		room, ms = float64(e.model.StepsPerPass*e.model.ChunkTokens), enginemodel.DecodeMs(e.model, len(e.decoding), context)
	}
	var prefilled []*fleetPart
	for len(e.waiting) > 0 && room > 0 {
		p := e.waiting[0]
		if p.prefill.Tokens > room {
			share := room / p.prefill.Tokens
			ms += p.prefill.Ms * share
			p.prefill = enginemodel.Prefill{Ms: p.prefill.Ms * (1 - share), Tokens: p.prefill.Tokens - room}
			break
		}
		room -= p.prefill.Tokens
		ms += p.prefill.Ms
		prefilled = append(prefilled, p)
		e.waiting = e.waiting[1:]
	}
	e.fleet.after(enginemodel.FromMs(ms), func() { e.finishPass(prefilled) })
}

// finishPass emits the events of a pass and starts the answers whose prompts are
// prefilled.
func (e *fleetEngine) finishPass(prefilled []*fleetPart) {
	decoding := e.decoding[:0]
	for _, a := range e.decoding {
		if a.emit(e.fleet.now); a.eventsLeft > 0 {
			decoding = append(decoding, a)
		}
	}
	e.decoding = decoding
	for _, p := range prefilled {
		if p.answer.partsLeft--; p.answer.partsLeft == 0 {
			main := e.fleet.engines[p.answer.plan.Endpoints[0].Key]
			p.answer.emit(e.fleet.now)
			main.decoding = append(main.decoding, p.answer)
			main.startPass()
		}
	}
	e.busy = false
	e.startPass()
}

// emit delivers one event to the caller.
func (a *fleetAnswer) emit(now time.Time) {
	limit, from := a.kind.pause, a.lastEventAt
	if a.lastEventAt.IsZero() {
		limit, from = a.kind.objective, a.arrived
		a.plan.Handle.MarkStarted()
		if now.Sub(a.arrived) > a.kind.callerTimeout() {
			a.outcome.abandoned++
		}
	}
	if now.Sub(from) > limit && !a.late {
		a.late = true
		a.plan.Handle.MarkLate()
	}
	a.lastEventAt = now
	if a.eventsLeft--; a.eventsLeft > 0 {
		return
	}
	a.plan.Handle.Close()
	if a.late {
		a.outcome.late++
	} else {
		a.outcome.onTime++
	}
}
