package gate

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// graceTime is how long an attempt runs on without a reader.
const graceTime = 5 * time.Second

type stage int

const (
	stageReceiving stage = iota // its body is on the way
	stageQueued
	stageDispatched
	stageEnded
)

// Reasons for ending an attempt from outside.
var (
	errCancelled  = errors.New("cancelled by the caller")
	errAbandoned  = errors.New("nobody reads the answer")
	errDeadline   = errors.New("deadline of the whole answer has passed")
	errRestarted  = errors.New("endpoint was restarted")
	errQueueLimit = errors.New("deadline of the first token passed in the queue")
)

// Attempt is one try of a request at the endpoint.
type Attempt struct {
	gate   *Gate
	open   *wire.AttemptOpen
	body   []byte
	replay *replay
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc // frees the deadline's timer
	start  chan struct{}      // closed when it may be sent

	firstToken  time.Time // deadline
	submittedAt time.Time
	record      *record

	// Guarded by the gate's lock.
	stage     stage
	boot      string    // boot of the endpoint that it was sent to
	written   time.Time // when the whole request had been written
	confirmed bool      // a later probe has shown that boot and the attempt
	answered  bool
	firstSeen bool // the first part of the answer is there
	usesGroup bool
	passing   bool   // dispatched before one that waits for memory
	kvName    string // the work's name in the body of a KV call
	block     string // the KV block that it will leave, also its name in the endpoint's list
	readers   int
	unread    int // generation of the grace timer
}

func newAttempt(g *Gate, open *wire.AttemptOpen, now time.Time) *Attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	whole := now.Add(time.Duration(open.WholeAnswerMs) * time.Millisecond)
	ctx, stop := context.WithDeadlineCause(ctx, whole, errDeadline)
	return &Attempt{
		gate: g, open: open, replay: newReplay(g.budget),
		ctx: ctx, cancel: cancel, stop: stop, start: make(chan struct{}),
		firstToken: now.Add(firstTokenLeft(open)),
	}
}

func (a *Attempt) tokens() uint64 { return a.open.PromptTokens + uint64(a.open.OutputTokens) }

// Submit queues the attempt with its whole body and starts it.
func (a *Attempt) Submit(body []byte) (position int, cold bool) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.stage != stageReceiving {
		return 0, g.ramp.isCold()
	}
	a.body = body
	a.submittedAt = time.Now()
	a.kvName = kvWork(a.open, body)
	g.expectBlock(a, body)
	a.stage = stageQueued
	g.flow.add(enginePriority(a.open), a.open.PromptTokens, time.Now())
	g.queue.add(&waiting{attempt: a, priority: a.open.Priority, prefill: a.open.PromptTokens, since: time.Now()})
	position = len(g.queue.items)
	go a.run()
	g.pump()
	return position, g.ramp.isCold()
}

// Abort gives up an attempt whose body did not come.
func (a *Attempt) Abort(why *fault.Error) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if a.stage == stageReceiving {
		a.refuse(why)
	}
}

// Cancel ends the attempt wherever it is.
func (a *Attempt) Cancel() {
	a.Abort(fault.New(fault.Cancelled, "cancelled before it was sent"))
	a.cancel(errCancelled)
}

// AddReader counts a reader of the answer.
func (a *Attempt) AddReader() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if a.readers == 0 && a.stage == stageEnded {
		a.gate.budget.removeIdle(a.replay)
	}
	a.readers++
	a.unread++
}

// RemoveReader takes a reader away. Without any, the attempt has the grace time left.
func (a *Attempt) RemoveReader() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.readers--
	a.unread++
	if a.readers > 0 {
		return
	}
	if a.stage == stageEnded {
		a.gate.budget.addIdle(a.replay)
		return
	}
	generation := a.unread
	time.AfterFunc(graceTime, func() { a.abandon(generation) })
}

// abandon ends an attempt that nobody reads. One that may not be repeated and
// is under way runs to its end, since only its outcome counts.
func (a *Attempt) abandon(generation int) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if a.unread != generation || a.stage == stageEnded {
		return
	}
	if a.open.Repeatable || a.stage != stageDispatched {
		a.cancel(errAbandoned)
		return
	}
	a.replay.drop()
}

// Acknowledge tells that the reader has all messages up to sequence.
func (a *Attempt) Acknowledge(sequence uint64) { a.replay.acknowledge(sequence) }

// Read waits for messages from a sequence on; done tells that there are no more.
func (a *Attempt) Read(ctx context.Context, from uint64) (messages []*wire.AttemptDown, done bool, err error) {
	for {
		messages, wait, done, err := a.replay.read(from)
		if err != nil || done || len(messages) > 0 {
			return messages, done, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// refuse ends an attempt of which nothing ran. The caller holds the gate's lock.
func (a *Attempt) refuse(why *fault.Error) {
	if a.stage == stageEnded {
		return
	}
	a.gate.countRefusal(a.open, why)
	failure := fault.ToWire(why)
	a.record.state = wire.AttemptState_ATTEMPT_STATE_REFUSED
	a.record.failure = failure
	a.end(&wire.AttemptDown{Of: &wire.AttemptDown_Refused{Refused: &wire.Refused{Failure: failure}}})
	a.gate.unuse(a)
}

// close ends an attempt that was sent. The caller holds the gate's lock.
func (a *Attempt) close(end *wire.End, outcome *wire.Outcome) {
	if a.stage == stageEnded {
		return
	}
	a.record.state = wire.AttemptState_ATTEMPT_STATE_DONE
	a.record.failure = end.Failure
	if !a.open.Repeatable {
		a.gate.records.settle(a.record, outcome)
	}
	a.end(&wire.AttemptDown{Of: &wire.AttemptDown_End{End: end}})
}

func (a *Attempt) end(last *wire.AttemptDown) {
	a.stage = stageEnded
	a.body = nil
	a.gate.bodyBytes -= a.open.BodyBytes
	a.replay.finish(last)
	if a.readers == 0 {
		a.gate.budget.addIdle(a.replay)
	}
	a.stop()
	time.AfterFunc(keepAnswer, a.forget)
}

// forget frees the answer of an ended attempt; its record stays.
func (a *Attempt) forget() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.record.attempt = nil
	a.gate.budget.removeIdle(a.replay)
	a.replay.release()
	a.cancel(nil)
}
