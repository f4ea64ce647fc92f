package gate

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// readerGracePeriod is how long an attempt continues without a reader.
const readerGracePeriod = 5 * time.Second

// stage is the position of an attempt in its life cycle.
type stage int

const (
	stageReceiving stage = iota // the body is being received
	stageQueued
	stageDispatched
	stageEnded
)

// Causes for which an attempt is ended before its answer is complete.
var (
	errCancelled      = errors.New("cancelled by the caller")
	errNoReader       = errors.New("answer has no reader")
	errAnswerDeadline = errors.New("whole-answer deadline has passed")
	errRestarted      = errors.New("endpoint was restarted")
	errQueueDeadline  = errors.New("first-token deadline has passed in the queue")
)

// Attempt is one try to run a request at the endpoint.
type Attempt struct {
	gate         *Gate
	open         *wire.AttemptOpen
	body         []byte
	replay       *replayBuffer
	ctx          context.Context
	cancel       context.CancelCauseFunc
	stopDeadline context.CancelFunc // releases the timer of the whole-answer deadline
	dispatched   chan struct{}      // closed when the attempt is dispatched

	firstTokenDeadline time.Time
	submittedAt        time.Time
	record             *record

	// The fields below are guarded by Gate.mu.
	stage            stage
	boot             string    // boot ID of the endpoint to which the attempt was sent
	written          time.Time // when the whole request had been written
	confirmed        bool      // a later probe has confirmed the attempt on that boot, see confirmDispatches
	responded        bool      // the response headers have been received
	firstChunkSeen   bool      // the first part of the answer has been received
	usesGroup        bool      // counted as a user of its group reservation
	overtook         bool      // dispatched before an attempt that waits for memory
	kvWorkName       string    // name of the work in the body of a KV call
	kvBlock          string    // KV block that the attempt creates; the endpoint lists the attempt under this name
	readers          int
	readerGeneration int // incremented when readers change, so that earlier grace timers have no effect
}

func newAttempt(g *Gate, open *wire.AttemptOpen, now time.Time) *Attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	whole := now.Add(time.Duration(open.WholeAnswerMs) * time.Millisecond)
	ctx, stop := context.WithDeadlineCause(ctx, whole, errAnswerDeadline)
	return &Attempt{
		gate: g, open: open, replay: newReplayBuffer(g.budget),
		ctx: ctx, cancel: cancel, stopDeadline: stop, dispatched: make(chan struct{}),
		firstTokenDeadline: now.Add(timeToFirstToken(open)),
	}
}

func (a *Attempt) tokens() uint64 { return a.open.PromptTokens + uint64(a.open.OutputTokens) }

// Submit queues the attempt with its complete body. It returns its position in
// the queue and whether the endpoint is in cold start.
func (a *Attempt) Submit(body []byte) (position int, cold bool) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.stage != stageReceiving {
		return 0, g.slowStart.isCold()
	}
	a.body = body
	a.submittedAt = time.Now()
	a.kvWorkName = parseKVWorkName(a.open, body)
	g.recordExpectedBlock(a, body)
	a.stage = stageQueued
	g.arrivals.add(enginePriority(a.open), a.open.PromptTokens, time.Now())
	g.queue.add(&queuedAttempt{attempt: a, priority: a.open.Priority, prefillTokens: a.open.PromptTokens, queuedAt: time.Now()})
	position = len(g.queue.items)
	go a.run()
	g.dispatchWaiting()
	return position, g.slowStart.isCold()
}

// Abort refuses an attempt whose body was not received. It has no effect after
// Submit.
func (a *Attempt) Abort(why *fault.Error) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if a.stage == stageReceiving {
		a.refuse(why)
	}
}

// Cancel ends the attempt in any stage.
func (a *Attempt) Cancel() {
	a.Abort(fault.New(fault.Cancelled, "cancelled before it was sent"))
	a.cancel(errCancelled)
}

// AddReader adds a reader of the answer, which keeps the attempt running.
func (a *Attempt) AddReader() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if a.readers == 0 && a.stage == stageEnded {
		a.gate.budget.removeIdle(a.replay)
	}
	a.readers++
	a.readerGeneration++
}

// RemoveReader removes a reader. Without any reader, the attempt continues for
// readerGracePeriod.
func (a *Attempt) RemoveReader() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.readers--
	a.readerGeneration++
	if a.readers > 0 {
		return
	}
	if a.stage == stageEnded {
		a.gate.budget.addIdle(a.replay)
		return
	}
	generation := a.readerGeneration
	time.AfterFunc(readerGracePeriod, func() { a.cancelIfUnread(generation) })
}

// cancelIfUnread cancels an attempt that has had no reader since generation. A
// dispatched attempt that is not repeatable runs to its end, since its outcome
// must be recorded; only its answer is discarded.
func (a *Attempt) cancelIfUnread(generation int) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if a.readerGeneration != generation || a.stage == stageEnded {
		return
	}
	if a.open.Repeatable || a.stage != stageDispatched {
		a.cancel(errNoReader)
		return
	}
	a.replay.discard()
}

// Acknowledge records that the reader has received all messages up to sequence,
// so that the gate can free them.
func (a *Attempt) Acknowledge(sequence uint64) { a.replay.acknowledge(sequence) }

// Read waits for and returns the messages from sequence from on. done is true
// when no more follow.
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

// refuse ends an attempt of which nothing ran. The caller holds Gate.mu.
func (a *Attempt) refuse(why *fault.Error) {
	if a.stage == stageEnded {
		return
	}
	a.gate.countRefusal(a.open, why)
	failure := fault.ToWire(why)
	a.record.state = wire.AttemptState_ATTEMPT_STATE_REFUSED
	a.record.failure = failure
	a.end(&wire.AttemptDown{Of: &wire.AttemptDown_Refused{Refused: &wire.Refused{Failure: failure}}})
	a.gate.removeGroupUser(a)
}

// close ends a dispatched attempt. The outcome of one that is not repeatable is
// recorded. The caller holds Gate.mu.
func (a *Attempt) close(end *wire.End, outcome *wire.Outcome) {
	if a.stage == stageEnded {
		return
	}
	a.record.state = wire.AttemptState_ATTEMPT_STATE_DONE
	a.record.failure = end.Failure
	if !a.open.Repeatable {
		a.gate.records.setOutcome(a.record, outcome)
	}
	a.end(&wire.AttemptDown{Of: &wire.AttemptDown_End{End: end}})
}

func (a *Attempt) end(last *wire.AttemptDown) {
	a.stage = stageEnded
	a.body = nil
	a.gate.bodyBytes -= a.open.BodyBytes
	a.replay.addLast(last)
	if a.readers == 0 {
		a.gate.budget.addIdle(a.replay)
	}
	a.stopDeadline()
	time.AfterFunc(answerRetention, a.releaseAnswer)
}

// releaseAnswer frees the answer of an ended attempt; its record stays.
func (a *Attempt) releaseAnswer() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.record.attempt = nil
	a.gate.budget.removeIdle(a.replay)
	a.replay.release()
	a.cancel(nil)
}
