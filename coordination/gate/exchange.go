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
	maxResumes           = 2                      // of one event stream
	cancelTimeout        = 2 * time.Second        // of one cancel or delete call
	arrivalDelay         = 100 * time.Millisecond // longest assumed delay until a written request has arrived
	cancelRetryInterval  = 100 * time.Millisecond
	statusOK             = 200
	minRedirectStatus    = 300 // all statuses below it are successes
	statusOverload       = 503 // with NotRun, the endpoint has refused the attempt
	statusNoMemory       = 507 // an engine ran out of memory
	minServerErrorStatus = 500 // this status and all above it are server errors
)

// run waits until the attempt is dispatched or refused, and carries a
// dispatched one to its end.
func (a *Attempt) run() {
	timer := time.NewTimer(time.Until(a.firstTokenDeadline))
	defer timer.Stop()
	select {
	case <-a.dispatched:
	case <-a.ctx.Done():
		a.leaveQueue(context.Cause(a.ctx))
	case <-timer.C:
		a.leaveQueue(errQueueDeadline)
	}
	select {
	case <-a.dispatched:
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

// refusalFor returns the refusal of an attempt that was ended in the queue for
// the given cause.
func refusalFor(why error) *fault.Error {
	switch {
	case errors.Is(why, errQueueDeadline), errors.Is(why, errAnswerDeadline):
		return fault.New(fault.DeadlineUnmeetable, "endpoint had no capacity before the deadline").WithRetryAfter(shortRetryAfter)
	case errors.Is(why, errRestarted):
		return outOfService("endpoint was restarted")
	}
	return fault.New(fault.Cancelled, "cancelled before it was sent")
}

// exchange sends the attempt and relays the response.
func (a *Attempt) exchange() {
	g := a.gate
	if !a.recheckAdmission() {
		return
	}
	response, err := g.options.Endpoint.Send(a.ctx, a.newCall())
	if err != nil {
		a.sendFailed(err)
		return
	}
	defer response.Body.Close()
	g.markResponded(a, response)
	if response.Status == statusOverload && response.NotRun {
		a.refusedByEndpoint(response.RetryAfter)
		return
	}
	outcome := &wire.Outcome{Status: uint32(response.Status), ContentType: response.ContentType}
	if err := a.relay(response, outcome); err != nil {
		a.relayFailed(err)
		return
	}
	a.complete(response, outcome)
}

// recheckAdmission refuses the attempt and returns false if it may no longer be
// sent. The process may have been suspended since the attempt was dispatched.
func (a *Attempt) recheckAdmission() bool {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal := g.checkAvailable(time.Now())
	if refusal == nil && a.boot != g.slowStart.boot {
		refusal = outOfService("endpoint was restarted").WithRetryAfter(shortRetryAfter)
	}
	if refusal == nil && a.ctx.Err() != nil {
		refusal = refusalFor(context.Cause(a.ctx))
	}
	if refusal == nil {
		return true
	}
	a.refuse(refusal)
	g.removeRunning(a)
	return false
}

func (a *Attempt) newCall() *Call {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Call{
		Attempt: a.open.Attempt, Method: httpMethod(a.open), Path: a.open.Path,
		ContentType: a.open.ContentType, Body: a.body,
		Priority: enginePriority(a.open), PromptTokens: a.open.PromptTokens,
		OutputTokens: a.open.OutputTokens, Fence: g.lease.number,
		BeforeSend: a.checkBeforeSend, OnWritten: a.markWritten, KvImports: a.open.KvImports,
	}
}

// checkBeforeSend checks again that the gate may dispatch, once a connection to
// the endpoint is established, which may have taken long.
func (a *Attempt) checkBeforeSend() error {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.checkAvailable(time.Now()); refusal != nil {
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
	notify(a.gate.probeDue)
}

// sendFailed ends an attempt that received no response.
func (a *Attempt) sendFailed(err error) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.ctx.Err() == nil {
		g.suspectRestart()
	}
	if errors.Is(err, ErrNotSent) {
		a.refuse(outOfService("endpoint cannot be reached").WithRetryAfter(shortRetryAfter))
		g.removeRunning(a)
		return
	}
	a.fail(err)
}

// fail ends a dispatched attempt without a complete answer and cancels it at
// the endpoint. The caller holds Gate.mu.
func (a *Attempt) fail(err error) {
	failure := a.failureFor(err)
	a.logFailure(failure)
	a.close(&wire.End{Status: uint32(failure.Kind.Status()), Failure: fault.ToWire(failure), MayHaveRun: true}, nil)
	a.cancel(errCancelled)
	go a.gate.cancelAtEndpoint(a)
}

// failureFor returns the failure of a dispatched attempt: err if the endpoint
// caused it, otherwise the cause for which the attempt was ended.
func (a *Attempt) failureFor(err error) *fault.Error {
	cause := context.Cause(a.ctx)
	switch {
	case a.ctx.Err() == nil:
		return fault.Wrap(err, fault.EndpointFailed, "endpoint %s broke the connection", a.gate.info.Endpoint)
	case errors.Is(cause, errAnswerDeadline):
		return fault.New(fault.Timeout, "answer was not complete by its deadline")
	case errors.Is(cause, errRestarted):
		return fault.New(fault.EndpointFailed, "endpoint %s was restarted", a.gate.info.Endpoint)
	}
	return fault.New(fault.Cancelled, "%s", cause)
}

// refusedByEndpoint refuses an attempt that the endpoint has refused without
// running it.
func (a *Attempt) refusedByEndpoint(retryAfter time.Duration) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	a.refuse(fault.New(fault.Overloaded, "endpoint %s refused the attempt as overloaded", g.info.Endpoint).WithRetryAfter(max(retryAfter, shortRetryAfter)))
	g.removeRunning(a)
}

// relayFailed ends an attempt whose answer was interrupted.
func (a *Attempt) relayFailed(err error) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.ctx.Err() == nil {
		g.suspectRestart()
	}
	a.fail(err)
}

// complete ends an attempt whose response was relayed completely. A server
// error of a model engine is a failure of the attempt; that of a service is
// passed on as its response. Neither counts as finished for slow start.
func (a *Attempt) complete(response *Response, outcome *wire.Outcome) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	end := &wire.End{Status: uint32(response.Status), ContentType: response.ContentType, MayHaveRun: true}
	if g.info.Service == "" && response.Status >= minServerErrorStatus {
		end.Failure = fault.ToWire(endpointError(g.info.Endpoint, response.Status))
	}
	a.close(end, outcome)
	if response.Status < minServerErrorStatus {
		g.slowStart.countFinished(response.BootID)
		g.recordCreatedBlock(a, response.Status, outcome.Body)
	}
	g.removeRunning(a)
}

func endpointError(endpoint string, status int) *fault.Error {
	if status == statusNoMemory {
		return fault.New(fault.EndpointFailed, "endpoint %s ran out of memory", endpoint)
	}
	return fault.New(fault.EndpointFailed, "endpoint %s responded with status %d", endpoint, status)
}

// relay copies the answer into the replay buffer until it is complete. An event
// stream of a model engine that breaks is resumed up to maxResumes times.
func (a *Attempt) relay(response *Response, outcome *wire.Outcome) error {
	if !isEventStream(response) {
		return a.relayBody(response, outcome)
	}
	events := newEventReader(response.Body, a.gate.IsEngine())
	events.endsWithClose = response.EndsWithClose
	for resumes := 0; ; resumes++ {
		err := a.relayEvents(events, outcome)
		if err == nil || a.ctx.Err() != nil || resumes == maxResumes || !a.gate.IsEngine() {
			return err
		}
		resumed, resumeErr := a.gate.options.Endpoint.Resume(a.ctx, a.open.Attempt, events.lastID+1)
		if resumeErr != nil {
			return err
		}
		defer resumed.Body.Close()
		if resumed.Status != statusOK || resumed.BootID != response.BootID || !isEventStream(resumed) {
			return err
		}
		events.continueWith(resumed.Body)
	}
}

func isEventStream(response *Response) bool {
	return strings.HasPrefix(response.ContentType, "text/event-stream")
}

func (a *Attempt) relayEvents(events *eventReader, outcome *wire.Outcome) error {
	for {
		data, tokens, err := events.next()
		if len(data) > 0 {
			if err := a.forward(data, tokens, outcome); err != nil {
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

// relayBody copies an answer that is no event stream. One of an engine that ends with its
// connection must be a whole JSON value.
func (a *Attempt) relayBody(response *Response, outcome *wire.Outcome) error {
	var end jsonEnd
	mustBeJSON := response.EndsWithClose && a.gate.IsEngine() && response.Status < minRedirectStatus
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			end.add(buffer[:n])
			if err := a.forward(bytes.Clone(buffer[:n]), 0, outcome); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) && mustBeJSON && !end.whole() {
			return io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// forward appends a part of the answer to the replay buffer, in chunks of
// limited size.
func (a *Attempt) forward(data []byte, tokens uint32, outcome *wire.Outcome) error {
	a.markFirstChunk()
	a.recordOutcome(data, outcome)
	for len(data) > 0 {
		n := min(len(data), maxChunkBytes)
		if err := a.replay.addChunk(a.ctx, data[:n], tokens); err != nil {
			return err
		}
		data, tokens = data[n:], 0
	}
	return nil
}

// recordOutcome adds a part of the answer to the outcome. The answers of
// repeatable attempts are not recorded, except those under a group reservation,
// which may name a KV block. An answer above maxOutcomeBytes is dropped from
// the outcome.
func (a *Attempt) recordOutcome(data []byte, outcome *wire.Outcome) {
	if a.open.Repeatable && a.open.Reservation == "" || outcome.Truncated {
		return
	}
	if len(outcome.Body)+len(data) > maxOutcomeBytes {
		outcome.Body, outcome.Truncated = nil, true
		return
	}
	outcome.Body = append(outcome.Body, data...)
}

func (a *Attempt) markFirstChunk() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.firstChunkSeen = true
}

// cancelAtEndpoint cancels an ended attempt at the endpoint. Until the endpoint
// has confirmed this, the attempt counts as running and keeps its memory.
func (g *Gate) cancelAtEndpoint(a *Attempt) {
	if !g.hasArrived(a) {
		time.Sleep(arrivalDelay) // the cancel call must not overtake the request
	}
	for g.atEndpoint(a) {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := g.options.Endpoint.Cancel(ctx, cmp.Or(a.kvBlock, a.open.Attempt))
		cancel()
		if err == nil {
			g.mu.Lock()
			g.removeRunning(a)
			g.mu.Unlock()
			return
		}
		time.Sleep(cancelRetryInterval)
	}
}

// hasArrived reports whether the request is known to have reached the endpoint.
func (g *Gate) hasArrived(a *Attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return a.confirmed || a.responded
}

func (g *Gate) atEndpoint(a *Attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[a.open.Attempt] == a
}
