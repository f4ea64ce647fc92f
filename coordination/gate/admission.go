package gate

import (
	"context"
	"math/bits"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxBodyBytes      = 32 << 20 // of one attempt
	maxTotalBodyBytes = 96 << 20 // of all attempts that have not ended
	// queueLengthFactor limits the queue to this multiple of the full
	// concurrency, but never to less than minQueueLength.
	queueLengthFactor = 4
	minQueueLength    = 32
	// minPrefillShare is the share of the prefill rate that a prompt is assumed
	// to get at least, however many shorter prompts arrive.
	minPrefillShare = 0.05
)

// enginePaths are the paths of a model engine that an attempt may use.
var enginePaths = []string{"/v1/completions", "/v1/chat/completions", "/kv/prefill", "/kv/export", "/kv/import"}

// reservedPaths may not be used by attempts of a service: they form the
// interface between gate and endpoint.
var reservedPaths = []string{"/orders", "/boot", "/load", "/v1/attempts", "/cache", "/debug", "/announce"}

// Admit admits or refuses a new attempt before its body has been received. A
// refusal is final for the attempt ID. The caller continues with Submit or
// Abort.
func (g *Gate) Admit(open *wire.AttemptOpen) (*Attempt, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if open.GateInstance != "" && open.GateInstance != g.instance {
		return nil, outOfService("this gate was restarted").WithRetryAfter(shortRetryAfter)
	}
	if open.Attempt == "" || len(open.Attempt) > maxAttemptIDBytes {
		return nil, fault.New(fault.InvalidRequest, "attempt ID has %d bytes; it must have 1 to %d", len(open.Attempt), maxAttemptIDBytes)
	}
	if rec := g.records.get(open.Attempt); rec != nil {
		return nil, refuseDuplicate(rec)
	}
	g.records.expire(now)
	if refusal := g.checkAdmission(open, now); refusal != nil {
		rec := g.records.add(open.Attempt, wire.AttemptState_ATTEMPT_STATE_REFUSED, now)
		rec.failure = fault.ToWire(refusal)
		g.countRefusal(open, refusal)
		return nil, refusal
	}
	a := newAttempt(g, open, now)
	a.record = g.records.add(open.Attempt, wire.AttemptState_ATTEMPT_STATE_RUNNING, now)
	a.record.attempt = a
	a.usesGroup = open.Reservation != ""
	g.bodyBytes += open.BodyBytes
	return a, nil
}

// refuseDuplicate returns the error for the repeated arrival of an attempt.
// Only when the first arrival was refused does it state that nothing ran.
func refuseDuplicate(rec *record) *fault.Error {
	if rec.state == wire.AttemptState_ATTEMPT_STATE_REFUSED {
		return fault.From(fault.FromWire(rec.failure))
	}
	return fault.New(fault.InProgress, "attempt was received before").WithRetryAfter(shortRetryAfter)
}

func (g *Gate) checkAdmission(open *wire.AttemptOpen, now time.Time) *fault.Error {
	checks := []func(*wire.AttemptOpen, time.Time) *fault.Error{
		func(_ *wire.AttemptOpen, now time.Time) *fault.Error { return g.checkAvailable(now) },
		g.checkPath,
		g.checkModel,
		g.checkCapacity,
		g.checkDeadline,
		g.checkReservation,
	}
	for _, check := range checks {
		if refusal := check(open, now); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (g *Gate) checkPath(open *wire.AttemptOpen, _ time.Time) *fault.Error {
	path, _, _ := strings.Cut(open.Path, "?")
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "..") {
		return fault.New(fault.InvalidRequest, "path %q is not absolute or contains \"..\"", path)
	}
	if g.info.Service == "" {
		if !slices.Contains(enginePaths, path) {
			return fault.New(fault.InvalidRequest, "path %q is not served by a model engine", path)
		}
		return nil
	}
	for _, reserved := range reservedPaths {
		if path == reserved || strings.HasPrefix(path, reserved+"/") {
			return fault.New(fault.InvalidRequest, "path %q is reserved for the gate", path)
		}
	}
	return nil
}

func (g *Gate) checkModel(open *wire.AttemptOpen, _ time.Time) *fault.Error {
	if g.info.Service != "" || strings.HasPrefix(open.Path, "/kv/") || slices.Contains(g.info.Models, open.Model) {
		return nil
	}
	return fault.New(fault.UnknownModel, "endpoint %s does not serve model %q", g.info.Endpoint, open.Model)
}

func (g *Gate) checkCapacity(open *wire.AttemptOpen, _ time.Time) *fault.Error {
	if open.BodyBytes > maxBodyBytes {
		return fault.New(fault.BodyTooLarge, "body has %d bytes; at most %d are accepted", open.BodyBytes, maxBodyBytes)
	}
	if g.bodyBytes+open.BodyBytes > maxTotalBodyBytes {
		return fault.New(fault.Overloaded, "gate buffers too many request bytes").WithRetryAfter(shortRetryAfter)
	}
	if len(g.queue.items) >= max(minQueueLength, queueLengthFactor*g.slowStart.fullLimit) {
		return fault.New(fault.Overloaded, "queue of endpoint %s is full", g.info.Endpoint).WithRetryAfter(shortRetryAfter)
	}
	if g.info.Service != "" || open.Reservation != "" {
		return nil
	}
	if need := open.PromptTokens + uint64(open.OutputTokens); need > g.memory.total {
		return fault.New(fault.PromptTooLong, "prompt and answer need %d tokens; endpoint %s has memory for %d", need, g.info.Endpoint, g.memory.total)
	}
	return nil
}

func (g *Gate) checkDeadline(open *wire.AttemptOpen, now time.Time) *fault.Error {
	if open.WholeAnswerMs == 0 {
		return fault.New(fault.DeadlineUnmeetable, "whole-answer deadline has passed").WithRetryAfter(shortRetryAfter)
	}
	if g.info.Service != "" || g.info.PrefillTokensPerSecond <= 0 {
		return nil
	}
	tokens := g.queue.prefillTokensAhead(open.Priority, open.PromptTokens) + g.runningPrefillTokens(open)
	if len(open.PrefixBlocks) == 0 {
		tokens += open.PromptTokens // a prompt with known prefix blocks may be cached and need no prefill
	}
	rate := max(minPrefillShare*g.info.PrefillTokensPerSecond, g.info.PrefillTokensPerSecond-g.arrivals.higherPriorityRate(enginePriority(open), now))
	need := time.Duration(float64(tokens) / rate * float64(time.Second))
	left := timeToFirstToken(open)
	if need > left {
		return fault.New(fault.DeadlineUnmeetable, "first token needs %s of prefill; %s are left before its deadline", need.Round(time.Millisecond), left).WithRetryAfter(need - left)
	}
	return nil
}

// runningPrefillTokens sums the prompt tokens at the endpoint that are
// prefilled before a new attempt.
func (g *Gate) runningPrefillTokens(open *wire.AttemptOpen) uint64 {
	var sum uint64
	for _, a := range g.running {
		if !a.firstChunkSeen && enginePriority(a.open) >= enginePriority(open) {
			sum += a.open.PromptTokens
		}
	}
	return sum
}

// timeToFirstToken returns the time left until the first-token deadline. An
// attempt without that deadline, such as one to a service, uses the deadline of
// the whole answer.
func timeToFirstToken(open *wire.AttemptOpen) time.Duration {
	ms := open.FirstTokenMs
	if ms == 0 {
		ms = open.WholeAnswerMs
	}
	return time.Duration(ms) * time.Millisecond
}

// checkReservation counts the attempt as a user of its group reservation. It
// comes last of the checks, since a later refusal would leave the count.
func (g *Gate) checkReservation(open *wire.AttemptOpen, _ time.Time) *fault.Error {
	if open.Reservation == "" {
		if strings.HasPrefix(open.Path, "/kv/") && g.info.Service == "" {
			return fault.New(fault.InvalidRequest, "path %s needs a group reservation", open.Path)
		}
		return nil
	}
	if !g.memory.addGroupUser(open.Reservation) {
		return fault.New(fault.Overloaded, "group reservation %s is not held", open.Reservation).WithRetryAfter(shortRetryAfter)
	}
	return nil
}

// enginePriority returns the priority sent to the engine: it ranks by contract
// priority first and prefers shorter prompts within one priority.
func enginePriority(open *wire.AttemptOpen) int64 {
	shorter := lengthRanksPerPriority - 1 - bits.Len64(open.PromptTokens)
	return int64(open.Priority)*lengthRanksPerPriority + int64(max(shorter, 0))
}

func httpMethod(open *wire.AttemptOpen) string {
	if open.Method == "" {
		return http.MethodPost
	}
	return open.Method
}

// refuseWaiting refuses all queued attempts when the gate may no longer
// dispatch, rather than keeping them until their deadlines. The caller holds
// mu.
func (g *Gate) refuseWaiting() {
	refusal := g.checkAvailable(time.Now())
	if refusal == nil {
		return
	}
	for _, w := range slices.Clone(g.queue.items) {
		g.queue.remove(w.attempt)
		w.attempt.refuse(refusal)
	}
}

// tick performs the periodic work: it expires state and dispatches or refuses
// queued attempts.
func (g *Gate) tick(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.refuseWaiting()
	g.records.expire(now)
	g.memory.closeExpiredGroups(now)
	g.freeClosedGroups(ctx)
	g.dispatchWaiting()
	g.notifyReadinessChange(now)
}

// notifyReadinessChange makes a report due when readiness or cold start has
// changed.
func (g *Gate) notifyReadinessChange(now time.Time) {
	ready, cold := g.ready(now), g.slowStart.isCold()
	if ready != g.reportedReady || cold != g.reportedCold {
		g.reportedReady, g.reportedCold = ready, cold
		notify(g.reportDue)
	}
}

func (g *Gate) ready(now time.Time) bool {
	return g.slowStart.boot != "" && g.checkAvailable(now) == nil
}
