package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/passes"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

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
