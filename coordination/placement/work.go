package placement

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

type work struct {
	id          enginemodel.WorkID
	endpoints   []uint64
	reading     enginemodel.Prefill // on each endpoint
	held        []int               // tokens reserved at each endpoint, nil without reservations
	prompt      int
	output      int
	openedAt    time.Time
	firstDue    time.Time
	pause       time.Duration
	expires     time.Time
	credit      float64
	started     bool
	late        bool
	crossed     bool // another entry chose some of the endpoints at the same moment
	startedAt   time.Time
	predictedMs float64
	firstAt     time.Time // predicted, later when other work goes ahead
	audience    Scope     // of own work
}

// account is what the book knows of one endpoint.
type account struct {
	name     string // identity, empty before it was a candidate
	rank     uint64 // among endpoints that are alike; each entry has its own order
	works    []*work
	engine   *catalogue.Engine // nil while it is unknown, and at plain services
	queue    enginemodel.Queue
	arrivals []time.Time // within arrivalWindow
	health   health
	untold   untold
}

func (w *work) event(now time.Time) *wire.WorkEvent {
	var held []uint32
	for _, tokens := range w.held {
		held = append(held, uint32(tokens))
	}
	return &wire.WorkEvent{
		HeldTokens: held,
		Step:       wire.WorkStep_WORK_STEP_OPEN, Work: w.id.Number, Endpoints: w.endpoints,
		ReadUs: uint32(w.reading.Ms * 1e3), PromptTokens: uint32(w.prompt), OutputTokens: uint32(w.output),
		FirstMs: millis(w.firstDue.Sub(now)), PauseMs: millis(w.pause), LimitMs: millis(w.expires.Sub(now)),
		CreditMilli: creditMilli(w.credit), PredictedMs: millis(w.firstAt.Sub(now)),
	}
}

// memoryAt is what the work takes of its i-th endpoint's memory, in tokens.
func (w *work) memoryAt(i int) int {
	switch {
	case w.held != nil && i > 0:
		return w.held[i]
	case i > 0:
		return 0
	}
	total := w.prompt + w.output
	for _, tokens := range w.held {
		total -= tokens
	}
	return max(0, total)
}

// precedes reports whether of two pieces of work that crossed this one stays.
// All entries come to the same result.
func (w *work) precedes(other *work) bool {
	if w.credit != other.credit {
		return w.credit > other.credit
	}
	return w.prompt > other.prompt
}

// isLong reports whether the work's prompt may be read by several endpoints.
func (w *work) isLong() bool { return isWide(w.reading.Ms, len(w.endpoints)) }

func (w *work) shares(other *work) bool {
	return slices.ContainsFunc(w.endpoints, func(key uint64) bool { return slices.Contains(other.endpoints, key) })
}

// creditUnit is the part in which credit is told to the others.
const creditUnit = 1e3

func creditMilli(credit float64) uint32 { return uint32(math.Round(credit * creditUnit)) }

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func (b *Scheduler) enter(w *work) {
	b.works[w.id] = w
	for i, key := range w.endpoints {
		a := b.account(key)
		b.follow(a, key, w.openedAt)
		a.works = append(a.works, w)
		a.arrived(w.openedAt)
		a.queue.Add(enginemodel.Part{Work: w.id, Prefill: w.reading, Helper: i > 0}, w.openedAt)
		b.delay(a, key, w.openedAt)
	}
}

// follow brings an account's queue up to a moment.
func (b *Scheduler) follow(a *account, key uint64, now time.Time) {
	if engine := b.engineAt(a, key); engine != nil {
		a.queue.Advance(engine, a.writers(key), now)
	}
}

// engineAt returns an account's engine, nil while it is unknown.
func (b *Scheduler) engineAt(a *account, key uint64) *catalogue.Engine {
	if a.engine == nil {
		a.engine = b.engineOf(key)
	}
	return a.engine
}

// writers are the answers that have begun at the endpoint.
func (a *account) writers(key uint64) enginemodel.DecodeBatch {
	writers := a.untold.writers
	for _, w := range a.works {
		if w.started && w.endpoints[0] == key {
			writers.Count++
			writers.ContextTokens += w.prompt
		}
	}
	return writers
}

// delay moves the predicted first events of work whose parts an endpoint will
// read later than that.
func (b *Scheduler) delay(a *account, key uint64, now time.Time) {
	if a.engine == nil {
		return
	}
	a.queue.Forecast(a.engine, a.writers(key), nil, &b.after)
	for _, w := range a.works {
		if !w.started {
			w.firstAt = enginemodel.Later(w.firstAt, now.Add(enginemodel.FromMs(b.after.PartDoneMs(w.id))))
		}
	}
}

func (a *account) arrived(at time.Time) {
	kept := a.arrivals[:0]
	for _, t := range a.arrivals {
		if at.Sub(t) < arrivalWindow {
			kept = append(kept, t)
		}
	}
	a.arrivals = append(kept, at)
}

func (a *account) arrivalsAt(now time.Time) int {
	n := 0
	for _, t := range a.arrivals {
		if now.Sub(t) < arrivalWindow {
			n++
		}
	}
	return n
}

func (b *Scheduler) step(w *work, step wire.WorkStep) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.works[w.id] != w || !b.change(w, step) {
		return
	}
	b.spread(&wire.WorkEvent{Step: step, Work: w.id.Number}, w.audience)
}

// change reports whether the step tells something new.
func (b *Scheduler) change(w *work, step wire.WorkStep) bool {
	switch step {
	case wire.WorkStep_WORK_STEP_STARTED:
		if w.started {
			return false
		}
		now := b.now()
		for _, key := range w.endpoints {
			a := b.account(key)
			b.follow(a, key, now)
			a.queue.Remove(w.id)
		}
		w.started, w.startedAt = true, now
		b.setUnproven(w.endpoints[0], false, "an answer has begun there")
	case wire.WorkStep_WORK_STEP_LATE:
		if w.late {
			return false
		}
		w.late = true
	case wire.WorkStep_WORK_STEP_CLOSED:
		b.drop(w)
	}
	return true
}

func (b *Scheduler) drop(w *work) {
	delete(b.works, w.id)
	for _, key := range w.endpoints {
		if a := b.accounts[key]; a != nil {
			b.follow(a, key, b.now())
			a.works = slices.DeleteFunc(a.works, func(other *work) bool { return other == w })
			a.queue.Remove(w.id)
		}
	}
	close(b.changed)
	b.changed = make(chan struct{})
}
