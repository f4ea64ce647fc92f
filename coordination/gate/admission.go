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
	maxBodyBytes   = 32 << 20 // of one attempt
	maxBodiesBytes = 96 << 20 // of all attempts that are not ended
	// queueFactor bounds the queue in multiples of the full concurrency.
	queueFactor = 4
	minQueue    = 32
	// leastShare of the prefill rate is counted on beside shorter prompts.
	leastShare = 0.05
)

// enginePaths are the paths of a model engine that attempts may name.
var enginePaths = []string{"/v1/completions", "/v1/chat/completions", "/kv/prefill", "/kv/export", "/kv/import"}

// reservedPaths belong to the gate itself, on every endpoint.
var reservedPaths = []string{"/orders", "/boot", "/load", "/v1/attempts", "/cache", "/debug", "/announce"}

// Admit admits or refuses a new attempt, before its body has come. A refusal
// is final for that identity. The caller goes on with Submit or Abort.
func (g *Gate) Admit(open *wire.AttemptOpen) (*Attempt, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if open.GateInstance != "" && open.GateInstance != g.instance {
		return nil, outOfService("this gate was restarted").After(retrySoon)
	}
	if open.Attempt == "" || len(open.Attempt) > maxIDBytes {
		return nil, fault.New(fault.InvalidRequest, "attempt identity has %d bytes, 1 to %d are taken", len(open.Attempt), maxIDBytes)
	}
	if rec := g.records.get(open.Attempt); rec != nil {
		return nil, seenBefore(rec)
	}
	g.records.expire(now)
	if refusal := g.admit(open, now); refusal != nil {
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

// seenBefore refuses a second arrival. Only one whose first arrival was refused
// says that nothing ran.
func seenBefore(rec *record) *fault.Error {
	if rec.state == wire.AttemptState_ATTEMPT_STATE_REFUSED {
		return fault.From(fault.FromWire(rec.failure))
	}
	return fault.New(fault.InProgress, "attempt has arrived before").After(retrySoon)
}

func (g *Gate) admit(open *wire.AttemptOpen, now time.Time) *fault.Error {
	checks := []func(*wire.AttemptOpen, time.Time) *fault.Error{
		func(_ *wire.AttemptOpen, now time.Time) *fault.Error { return g.available(now) },
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
		return fault.New(fault.InvalidRequest, "path %q is not absolute", path)
	}
	if g.info.Service == "" {
		if !slices.Contains(enginePaths, path) {
			return fault.New(fault.InvalidRequest, "path %q is not served", path)
		}
		return nil
	}
	for _, reserved := range reservedPaths {
		if path == reserved || strings.HasPrefix(path, reserved+"/") {
			return fault.New(fault.InvalidRequest, "path %q is reserved", path)
		}
	}
	return nil
}

func (g *Gate) checkModel(open *wire.AttemptOpen, _ time.Time) *fault.Error {
	if g.info.Service != "" || strings.HasPrefix(open.Path, "/kv/") || slices.Contains(g.info.Models, open.Model) {
		return nil
	}
	return fault.New(fault.UnknownModel, "endpoint %s does not hold model %q", g.info.Endpoint, open.Model)
}

func (g *Gate) checkCapacity(open *wire.AttemptOpen, _ time.Time) *fault.Error {
	if open.BodyBytes > maxBodyBytes {
		return fault.New(fault.BodyTooLarge, "body has %d bytes, at most %d are taken", open.BodyBytes, maxBodyBytes)
	}
	if g.bodyBytes+open.BodyBytes > maxBodiesBytes {
		return fault.New(fault.Overloaded, "gate holds too many bytes of requests").After(retrySoon)
	}
	if len(g.queue.items) >= max(minQueue, queueFactor*g.ramp.full) {
		return fault.New(fault.Overloaded, "queue of endpoint %s is full", g.info.Endpoint).After(retrySoon)
	}
	if g.info.Service != "" || open.Reservation != "" {
		return nil
	}
	if need := open.PromptTokens + uint64(open.OutputTokens); need > g.memory.total {
		return fault.New(fault.PromptTooLong, "prompt and answer need %d tokens, endpoint %s holds %d", need, g.info.Endpoint, g.memory.total)
	}
	return nil
}

func (g *Gate) checkDeadline(open *wire.AttemptOpen, now time.Time) *fault.Error {
	if open.WholeAnswerMs == 0 {
		return fault.New(fault.DeadlineUnmeetable, "deadline has passed").After(retrySoon)
	}
	if g.info.Service != "" || g.info.PrefillTokensPerSecond <= 0 {
		return nil
	}
	tokens := g.queue.ahead(open.Priority, open.PromptTokens) + g.computing(open)
	if len(open.PrefixBlocks) == 0 {
		tokens += open.PromptTokens // a prompt with a known prefix may be cached
	}
	rate := max(leastShare*g.info.PrefillTokensPerSecond, g.info.PrefillTokensPerSecond-g.flow.above(enginePriority(open), now))
	need := time.Duration(float64(tokens) / rate * float64(time.Second))
	left := firstTokenLeft(open)
	if need > left {
		return fault.New(fault.DeadlineUnmeetable, "first token needs %s, %s are left", need.Round(time.Millisecond), left).After(need - left)
	}
	return nil
}

// computing sums the prompt tokens at the endpoint that go before a new attempt.
func (g *Gate) computing(open *wire.AttemptOpen) uint64 {
	var sum uint64
	for _, a := range g.running {
		if !a.firstSeen && enginePriority(a.open) >= enginePriority(open) {
			sum += a.open.PromptTokens
		}
	}
	return sum
}

// firstTokenLeft is the time left for the first token; an attempt without a
// deadline for it, such as one to a plain service, has that of the whole answer.
func firstTokenLeft(open *wire.AttemptOpen) time.Duration {
	ms := open.FirstTokenMs
	if ms == 0 {
		ms = open.WholeAnswerMs
	}
	return time.Duration(ms) * time.Millisecond
}

func (g *Gate) checkReservation(open *wire.AttemptOpen, _ time.Time) *fault.Error {
	if open.Reservation == "" {
		if strings.HasPrefix(open.Path, "/kv/") && g.info.Service == "" {
			return fault.New(fault.InvalidRequest, "%s needs a reservation", open.Path)
		}
		return nil
	}
	if !g.memory.use(open.Reservation) {
		return fault.New(fault.Overloaded, "reservation %s is not held", open.Reservation).After(retrySoon)
	}
	return nil
}

// enginePriority ranks contract priority first and then short prompts.
func enginePriority(open *wire.AttemptOpen) int64 {
	shorter := priorityClasses - 1 - bits.Len64(open.PromptTokens)
	return int64(open.Priority)*priorityClasses + int64(max(shorter, 0))
}

func method(open *wire.AttemptOpen) string {
	if open.Method == "" {
		return http.MethodPost
	}
	return open.Method
}

// refuseWaiting refuses what waits and may no longer go on: nothing is held
// that cannot be dispatched. The caller holds mu.
func (g *Gate) refuseWaiting() {
	refusal := g.available(time.Now())
	if refusal == nil {
		return
	}
	for _, w := range slices.Clone(g.queue.items) {
		g.queue.remove(w.attempt)
		w.attempt.refuse(refusal)
	}
}

// tick runs the decisions that only time brings about.
func (g *Gate) tick(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.refuseWaiting()
	g.records.expire(now)
	g.memory.expire(now)
	g.dropClosedGroups(ctx)
	g.pump()
	g.noticeChange(now)
}

// noticeChange asks for a report at once when readiness or coldness changed.
func (g *Gate) noticeChange(now time.Time) {
	ready, cold := g.ready(now), g.ramp.isCold()
	if ready != g.toldReady || cold != g.toldCold {
		g.toldReady, g.toldCold = ready, cold
		notify(g.changed)
	}
}

func (g *Gate) ready(now time.Time) bool {
	return g.ramp.boot != "" && g.available(now) == nil
}
