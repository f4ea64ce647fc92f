// Package placement decides which endpoints carry a request. Its book holds the
// work in flight of all entries, from which it predicts the passes of each
// endpoint.
package placement

import (
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/passes"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// arrivalWindow is the span over which arrivals at a cold endpoint are counted.
const arrivalWindow = time.Second

// The bias of predictions follows what is seen in steps, within bounds.
const (
	biasStep  = 0.05
	biasLeast = 0.8
	biasMost  = 3
)

// Book is the ledger of work in flight, of this entry and of the others.
type Book struct {
	now func() time.Time

	mu       sync.Mutex
	accounts map[uint64]*account // by endpoint key
	works    map[workID]*work
	sequence uint64
	bias     float64 // of the time to the first event over its prediction, lately
	spread   func(*wire.WorkEvent)
	changed  chan struct{} // closed and replaced when work ends
}

// workID names a piece of work: sender 0 is this process.
type workID struct{ sender, number uint64 }

type work struct {
	id          workID
	endpoints   []uint64
	reading     passes.Reading // on each endpoint
	held        []int          // tokens reserved at each endpoint, nil without reservations
	prompt      int
	output      int
	openedAt    time.Time
	firstDue    time.Time
	pause       time.Duration
	expires     time.Time
	credit      float64
	started     bool
	late        bool
	startedAt   time.Time
	predictedMs float64
	firstAt     time.Time // predicted, later when other work goes ahead
}

// account is what the book knows of one endpoint.
type account struct {
	works    map[workID]*work
	readFree time.Time   // when the reading given to it is done, as predicted
	arrivals []time.Time // within arrivalWindow
	health   health
}

// NewBook returns an empty book.
func NewBook(now func() time.Time) *Book {
	return &Book{
		now:      now,
		accounts: make(map[uint64]*account),
		works:    make(map[workID]*work),
		bias:     1,
		spread:   func(*wire.WorkEvent) {},
		changed:  make(chan struct{}),
	}
}

// OnNews sets the function that tells the other entries of this one's work. It
// must not block.
func (b *Book) OnNews(f func(*wire.WorkEvent)) { b.spread = f }

func (b *Book) account(key uint64) *account {
	a := b.accounts[key]
	if a == nil {
		a = &account{works: make(map[workID]*work)}
		b.accounts[key] = a
	}
	return a
}

// Handle follows one piece of this entry's work.
type Handle struct {
	book *Book
	work *work
}

// open enters a plan that was just made. The caller holds the lock.
func (b *Book) open(p *Plan, d *Demand) *Handle {
	now := b.now()
	b.sequence++
	w := &work{
		id:          workID{number: b.sequence},
		reading:     p.reading,
		held:        p.Held,
		prompt:      d.PromptTokens,
		output:      d.OutputTokens,
		openedAt:    now,
		firstDue:    now.Add(d.FirstLeft),
		pause:       d.Pause,
		expires:     now.Add(d.Limit),
		credit:      d.Credit,
		predictedMs: p.PredictedFirstMs,
		firstAt:     now.Add(fromMs(p.PredictedFirstMs)),
	}
	for _, e := range p.Endpoints {
		w.endpoints = append(w.endpoints, e.Key)
	}
	b.enter(w)
	b.spread(w.event(now))
	return &Handle{book: b, work: w}
}

func (w *work) event(now time.Time) *wire.WorkEvent {
	var held []uint32
	for _, tokens := range w.held {
		held = append(held, uint32(tokens))
	}
	return &wire.WorkEvent{
		HeldTokens: held,
		Step:       wire.WorkStep_WORK_STEP_OPEN, Work: w.id.number, Endpoints: w.endpoints,
		ReadUs: uint32(w.reading.Ms * 1e3), PromptTokens: uint32(w.prompt), OutputTokens: uint32(w.output),
		FirstMs: millis(w.firstDue.Sub(now)), PauseMs: millis(w.pause), LimitMs: millis(w.expires.Sub(now)),
		CreditMilli: uint32(w.credit * 1e3), PredictedMs: millis(w.firstAt.Sub(now)),
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

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func (b *Book) enter(w *work) {
	b.works[w.id] = w
	for i, key := range w.endpoints {
		a := b.account(key)
		if i > 0 {
			a.overtaken(w)
		}
		a.works[w.id] = w
		a.arrived(w.openedAt)
		a.readFree = later(a.readFree, w.openedAt).Add(fromMs(w.reading.Ms))
	}
}

// overtaken delays the work that still reads: a helper's part goes ahead of all
// other reading, the newest first.
func (a *account) overtaken(by *work) {
	for _, w := range a.works {
		if !w.started {
			w.firstAt = w.firstAt.Add(fromMs(by.reading.Ms))
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Started notes that the first event was seen, and returns how long it took and
// how long it was predicted to take.
func (h *Handle) Started() (took time.Duration, predictedMs float64) {
	h.book.step(h.work, wire.WorkStep_WORK_STEP_STARTED)
	took = h.work.startedAt.Sub(h.work.openedAt)
	h.book.learn(took, h.work.predictedMs)
	return took, h.work.predictedMs
}

// learn moves the bias towards what one prediction was off by.
func (b *Book) learn(took time.Duration, predictedMs float64) {
	if predictedMs <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	ratio := float64(took) / float64(time.Millisecond) * b.bias / predictedMs
	b.bias += biasStep * (min(max(ratio, biasLeast), biasMost) - b.bias)
}

// Late notes that the work has missed an objective, so that others need not be
// careful of it any more.
func (h *Handle) Late() { h.book.step(h.work, wire.WorkStep_WORK_STEP_LATE) }

// Pass predicts how long the present pass takes at the endpoint that answers.
func (h *Handle) Pass(engine *catalogue.Engine) time.Duration {
	if engine == nil {
		return 0
	}
	h.book.mu.Lock()
	defer h.book.mu.Unlock()
	c := h.book.load(h.work.endpoints[0], h.book.now())
	return fromMs(passes.PassMs(engine, c.answers, c.context, c.backlog))
}

// Close ends the work.
func (h *Handle) Close() { h.book.step(h.work, wire.WorkStep_WORK_STEP_CLOSED) }

func (b *Book) step(w *work, step wire.WorkStep) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.works[w.id] != w || !b.change(w, step) {
		return
	}
	b.spread(&wire.WorkEvent{Step: step, Work: w.id.number})
}

// change reports whether the step tells something new.
func (b *Book) change(w *work, step wire.WorkStep) bool {
	switch step {
	case wire.WorkStep_WORK_STEP_STARTED:
		if w.started {
			return false
		}
		w.started, w.startedAt = true, b.now()
		for _, key := range w.endpoints {
			b.readDone(b.accounts[key])
		}
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

// readDone corrects the predicted end of reading by what is left to read.
func (b *Book) readDone(a *account) {
	if a == nil {
		return
	}
	left := 0.0
	for _, w := range a.works {
		if !w.started {
			left += w.reading.Ms
		}
	}
	if most := b.now().Add(fromMs(left)); a.readFree.After(most) {
		a.readFree = most
	}
}

func (b *Book) drop(w *work) {
	delete(b.works, w.id)
	for _, key := range w.endpoints {
		if a := b.accounts[key]; a != nil {
			delete(a.works, w.id)
			b.readDone(a)
		}
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// Changed returns a channel that is closed when some work ends.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// ApplyRemote takes news of another entry's work.
func (b *Book) ApplyRemote(sender uint64, events []*wire.WorkEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, e := range events {
		if e.Step == wire.WorkStep_WORK_STEP_UNREACHABLE {
			b.doubt(e.Endpoints)
			continue
		}
		id := workID{sender: sender, number: e.Work}
		if e.Step != wire.WorkStep_WORK_STEP_OPEN {
			if w := b.works[id]; w != nil {
				b.change(w, e.Step)
			}
			continue
		}
		if b.works[id] != nil || len(e.Endpoints) == 0 {
			continue
		}
		b.enter(&work{
			id: id, endpoints: e.Endpoints,
			reading: passes.Reading{
				Ms:     float64(e.ReadUs) / 1e3,
				Tokens: float64(e.PromptTokens) / float64(len(e.Endpoints)),
			},
			prompt: int(e.PromptTokens), output: int(e.OutputTokens), openedAt: now,
			firstDue: now.Add(time.Duration(e.FirstMs) * time.Millisecond),
			pause:    time.Duration(e.PauseMs) * time.Millisecond,
			expires:  now.Add(time.Duration(e.LimitMs) * time.Millisecond),
			credit:   float64(e.CreditMilli) / 1e3,
			firstAt:  now.Add(time.Duration(e.PredictedMs) * time.Millisecond),
			held:     heldOf(e),
		})
	}
}

// heldOf reads the reservations of an event.
func heldOf(e *wire.WorkEvent) []int {
	if len(e.HeldTokens) != len(e.Endpoints) {
		return nil
	}
	held := make([]int, len(e.HeldTokens))
	for i, tokens := range e.HeldTokens {
		held[i] = int(tokens)
	}
	return held
}

// Forget drops all work of another entry, whose link is lost or started anew.
func (b *Book) Forget(sender uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range b.works {
		if id.sender == sender {
			b.drop(w)
		}
	}
}

// Own returns the events that tell all of this entry's work anew.
func (b *Book) Own() []*wire.WorkEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var events []*wire.WorkEvent
	for id, w := range b.works {
		if id.sender != 0 {
			continue
		}
		events = append(events, w.event(now))
		if w.started {
			events = append(events, &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_STARTED, Work: id.number})
		}
	}
	return events
}

// Figures are counts for the metrics.
type Figures struct {
	Own, Others int // pieces of work in flight
	Resting     int // endpoints that are left alone after a failure
	Bias        float64
}

// Figures counts what the book holds.
func (b *Book) Figures() Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := Figures{Bias: b.bias}
	for id := range b.works {
		if id.sender == 0 {
			f.Own++
		} else {
			f.Others++
		}
	}
	now := b.now()
	for _, a := range b.accounts {
		if now.Before(a.health.restUntil) {
			f.Resting++
		}
	}
	return f
}

// Expire drops work whose time is over, of entries that never told its end.
func (b *Book) Expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, w := range b.works {
		if id.sender != 0 && now.After(w.expires) {
			b.drop(w)
		}
	}
}
