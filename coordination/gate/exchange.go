package gate

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxResumes     = 2
	withdrawWait   = 2 * time.Second        // for one cancel call
	arrivalTime    = 100 * time.Millisecond // of a request on a closed connection
	withdrawPause  = 100 * time.Millisecond
	statusOverload = 503
	statusNoMemory = 507
	statusServer   = 500
)

// run carries the attempt from the queue to its end.
func (a *Attempt) run() {
	timer := time.NewTimer(time.Until(a.firstToken))
	defer timer.Stop()
	select {
	case <-a.start:
	case <-a.ctx.Done():
		a.leaveQueue(context.Cause(a.ctx))
	case <-timer.C:
		a.leaveQueue(errQueueLimit)
	}
	select {
	case <-a.start:
		a.observeQueue()
		a.exchange()
	default:
	}
}

// leaveQueue refuses the attempt, unless it has just been dispatched.
func (a *Attempt) leaveQueue(why error) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if !a.gate.queue.remove(a) {
		return
	}
	a.refuse(refusalFor(why))
}

func refusalFor(why error) *fault.Error {
	switch {
	case errors.Is(why, errQueueLimit), errors.Is(why, errDeadline):
		return fault.New(fault.DeadlineUnmeetable, "no room before the deadline").After(retrySoon)
	case errors.Is(why, errRestarted):
		return outOfService("endpoint was restarted")
	}
	return fault.New(fault.Cancelled, "cancelled before it was sent")
}

// exchange sends the attempt and relays its answer.
func (a *Attempt) exchange() {
	g := a.gate
	if !a.checkBeforeSend() {
		return
	}
	answer, err := g.options.Endpoint.Send(a.ctx, a.call())
	if err != nil {
		a.sendFailed(err)
		return
	}
	defer answer.Body.Close()
	g.answered(a, answer)
	if answer.Status == statusOverload && answer.NotRun {
		a.refusedByEndpoint(answer.RetryAfter)
		return
	}
	outcome := &wire.Outcome{Status: uint32(answer.Status), ContentType: answer.ContentType}
	if err := a.relay(answer, outcome); err != nil {
		a.broken(err)
		return
	}
	a.complete(answer, outcome)
}

// checkBeforeSend repeats the checks of the admission right before the request
// leaves: the process may have been frozen since.
func (a *Attempt) checkBeforeSend() bool {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal := g.available(time.Now())
	if refusal == nil && a.boot != g.ramp.boot {
		refusal = outOfService("endpoint was restarted").After(retrySoon)
	}
	if refusal == nil && a.ctx.Err() != nil {
		refusal = refusalFor(context.Cause(a.ctx))
	}
	if refusal == nil {
		return true
	}
	a.refuse(refusal)
	g.remove(a)
	return false
}

func (a *Attempt) call() *Call {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Call{
		Attempt: a.open.Attempt, Method: method(a.open), Path: a.open.Path,
		ContentType: a.open.ContentType, Body: a.body,
		Priority: enginePriority(a.open), PromptTokens: a.open.PromptTokens,
		OutputTokens: a.open.OutputTokens, Fence: g.lease.number,
		BeforeSend: a.ready, OnWritten: a.markWritten, KvImports: a.open.KvImports,
	}
}

// ready repeats the checks once a connection stands, which may have taken long.
func (a *Attempt) ready() error {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.available(time.Now()); refusal != nil {
		return refusal
	}
	return nil
}

func (a *Attempt) markWritten() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if a.written.IsZero() {
		a.written = time.Now()
	}
	notify(a.gate.probe)
}

// sendFailed ends an attempt that got no answer.
func (a *Attempt) sendFailed(err error) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.ctx.Err() == nil {
		g.doubt()
	}
	if errors.Is(err, ErrNotSent) {
		a.refuse(outOfService("endpoint cannot be reached").After(retrySoon))
		g.remove(a)
		return
	}
	a.fail(err)
}

// fail ends a sent attempt without a whole answer and withdraws it from the
// endpoint. The caller holds the gate's lock.
func (a *Attempt) fail(err error) {
	failure := a.failureFor(err)
	a.logFailure(failure)
	a.close(&wire.End{Status: uint32(failure.Kind.Status()), Failure: fault.ToWire(failure), MayHaveRun: true}, nil)
	a.cancel(errCancelled)
	go a.gate.withdraw(a)
}

func (a *Attempt) failureFor(err error) *fault.Error {
	cause := context.Cause(a.ctx)
	switch {
	case a.ctx.Err() == nil:
		return fault.Wrap(err, fault.EndpointFailed, "endpoint %s broke off", a.gate.info.Endpoint)
	case errors.Is(cause, errDeadline):
		return fault.New(fault.Timeout, "the whole answer was not there by its deadline")
	case errors.Is(cause, errRestarted):
		return fault.New(fault.EndpointFailed, "endpoint %s was restarted", a.gate.info.Endpoint)
	}
	return fault.New(fault.Cancelled, "%s", cause)
}

func (a *Attempt) refusedByEndpoint(retryAfter time.Duration) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	a.refuse(fault.New(fault.Overloaded, "endpoint %s refused", g.info.Endpoint).After(max(retryAfter, retrySoon)))
	g.remove(a)
}

// broken ends an attempt whose answer broke off.
func (a *Attempt) broken(err error) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.ctx.Err() == nil {
		g.doubt()
	}
	a.fail(err)
}

func (a *Attempt) complete(answer *Response, outcome *wire.Outcome) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	end := &wire.End{Status: uint32(answer.Status), ContentType: answer.ContentType, MayHaveRun: true}
	if g.info.Service == "" && answer.Status >= statusServer {
		end.Failure = fault.ToWire(endpointError(g.info.Endpoint, answer.Status))
	}
	a.close(end, outcome)
	if answer.Status < statusServer {
		g.ramp.finish(answer.BootID)
		g.keepBlock(a, answer.Status, outcome.Body)
	}
	g.remove(a)
}

func endpointError(endpoint string, status int) *fault.Error {
	if status == statusNoMemory {
		return fault.New(fault.EndpointFailed, "endpoint %s ran out of memory", endpoint)
	}
	return fault.New(fault.EndpointFailed, "endpoint %s answered status %d", endpoint, status)
}

// relay moves the answer into the replay buffer until it is whole.
func (a *Attempt) relay(answer *Response, outcome *wire.Outcome) error {
	if !strings.HasPrefix(answer.ContentType, "text/event-stream") {
		return a.relayWhole(answer.Body, outcome)
	}
	events := newEventReader(answer.Body, a.gate.IsEngine())
	for resumes := 0; ; resumes++ {
		err := a.relayEvents(events, outcome)
		if err == nil || a.ctx.Err() != nil || resumes == maxResumes || !a.gate.IsEngine() {
			return err
		}
		again, resumeErr := a.gate.options.Endpoint.Resume(a.ctx, a.open.Attempt, events.lastID+1)
		if resumeErr != nil {
			return err
		}
		defer again.Body.Close()
		if again.Status != 200 || again.BootID != answer.BootID {
			return err
		}
		events.continueWith(again.Body)
	}
}

func (a *Attempt) relayEvents(events *eventReader, outcome *wire.Outcome) error {
	for {
		data, tokens, err := events.next()
		if len(data) > 0 {
			if err := a.pass(data, tokens, outcome); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (a *Attempt) relayWhole(body io.Reader, outcome *wire.Outcome) error {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := a.pass(bytes.Clone(buffer[:n]), 0, outcome); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// pass hands on a part of the answer, in chunks of bounded size.
func (a *Attempt) pass(data []byte, tokens uint32, outcome *wire.Outcome) error {
	a.markFirst()
	a.capture(data, outcome)
	for len(data) > 0 {
		n := min(len(data), maxChunkBytes)
		if err := a.replay.chunk(a.ctx, data[:n], tokens); err != nil {
			return err
		}
		data, tokens = data[n:], 0
	}
	return nil
}

func (a *Attempt) capture(data []byte, outcome *wire.Outcome) {
	if a.open.Repeatable && a.open.Reservation == "" || outcome.Truncated {
		return
	}
	if len(outcome.Body)+len(data) > maxOutcome {
		outcome.Body, outcome.Truncated = nil, true
		return
	}
	outcome.Body = append(outcome.Body, data...)
}

func (a *Attempt) markFirst() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.firstSeen = true
}

// withdraw cancels an ended attempt at the endpoint. Until that is confirmed it
// counts as load and holds its memory.
func (g *Gate) withdraw(a *Attempt) {
	if !g.hasArrived(a) {
		time.Sleep(arrivalTime) // else the cancel could overtake the request
	}
	for g.atEndpoint(a) {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawWait)
		err := g.options.Endpoint.Cancel(ctx, cmp.Or(a.block, a.open.Attempt))
		cancel()
		if err == nil {
			g.mu.Lock()
			g.remove(a)
			g.mu.Unlock()
			return
		}
		time.Sleep(withdrawPause)
	}
}

func (g *Gate) hasArrived(a *Attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return a.confirmed || a.answered
}

func (g *Gate) atEndpoint(a *Attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[a.open.Attempt] == a
}
