package callerhttp

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/coordination/claims"
	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/go-chi/chi/v5"
)

// completionHandler returns the handler of requests to models. path is the path at the
// endpoint.
func (s *Server) completionHandler(path string, chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := s.startCall(w, r)
		if !ok {
			return
		}
		defer c.close()
		open, err := c.newCompletionAttempt(path, chat)
		if err != nil {
			c.fail(err)
			return
		}
		s.Router.ObservePrompt(c.promptTokens)
		key := r.Header.Get(idempotencyKeyHeader)
		switch {
		case key != "":
			c.runOnce(open, key)
		case open.Streamed:
			c.runStreamed(open)
		default:
			c.runBuffered(open)
		}
	}
}

// newCompletionAttempt checks the request against the contract and sets its prompt tokens
// and deadlines.
func (c *call) newCompletionAttempt(path string, chat bool) (*wire.AttemptOpen, error) {
	p, err := parseCompletion(c.body, chat)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(c.contract.Models, p.model) {
		return nil, fault.New(fault.UnknownModel, "the contract has no model %q", p.model)
	}
	if p.promptTokens > uint64(c.contract.MaxPromptTokens) {
		return nil, fault.New(fault.PromptTooLong, "the prompt has about %d tokens, the contract allows %d", p.promptTokens, c.contract.MaxPromptTokens)
	}
	output := c.contract.MaxOutputTokens
	if p.maxOutputTokens > 0 {
		output = min(output, p.maxOutputTokens)
	}
	c.promptTokens = p.promptTokens
	c.deadlines = admission.DeadlinesFor(c.contract, p.promptTokens, c.startedAt, c.callerTimeout)
	return &wire.AttemptOpen{Model: p.model, Path: path, OutputTokens: output, PrefixBlocks: p.prefixBlocks, Streamed: p.stream}, nil
}

// handleService handles requests to plain services. GET and HEAD without an idempotency
// key are repeatable; all other requests run at most once, under the caller's key or a
// generated one.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	c, ok := s.startCall(w, r)
	if !ok {
		return
	}
	defer c.close()
	name := chi.URLParam(r, "service")
	if !slices.Contains(c.contract.Services, name) {
		c.fail(fault.New(fault.UnknownService, "the contract has no service %q", name))
		return
	}
	c.promptTokens = prompt.EstimateTokens(len(c.body))
	c.deadlines = admission.DeadlinesFor(c.contract, c.promptTokens, c.startedAt, c.callerTimeout)
	c.deadlines.FirstToken = time.Time{} // services do not stream their answers
	open := &wire.AttemptOpen{Path: servicePath(r)}
	key := r.Header.Get(idempotencyKeyHeader)
	if key == "" && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		c.runBufferedFor(open, name)
		return
	}
	if key == "" {
		key = "generated-" + c.id
	}
	c.runOnceFor(open, name, key)
}

// servicePath returns the part of the path after /services/NAME, with the query.
func servicePath(r *http.Request) string {
	path := "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func (c *call) runBuffered(open *wire.AttemptOpen) { c.runBufferedFor(open, "") }

// runBufferedFor runs a repeatable request and sends its answer once it is complete.
// service is empty for a request to a model.
func (c *call) runBufferedFor(open *wire.AttemptOpen, service string) {
	open.Repeatable = true
	job := c.newJob(open)
	job.Route.Model, job.Route.Service = open.Model, service
	hold, err := c.acquireQuota(open.OutputTokens)
	if err != nil {
		c.fail(err)
		return
	}
	sink := &bufferedSink{memory: c.memory}
	end, origin, err := c.server.Relay.Do(c.r.Context(), job, sink)
	if err != nil {
		releaseQuota(hold, err, c.promptTokens+sink.outputTokens)
		c.fail(err)
		return
	}
	hold.Release(c.promptTokens + sink.outputTokens)
	c.recordAnswer(end.Status)
	c.writeOutcome(&wire.Outcome{Status: end.Status, ContentType: end.ContentType, Body: sink.body}, origin.Endpoint)
}

// answerWriteTimeout bounds the writing of a buffered answer. It is as long as a body of the
// same size may take to arrive.
const answerWriteTimeout = bodyReadTimeout

// writeOutcome sends a complete answer, unless the caller does not read it in time.
func (c *call) writeOutcome(outcome *wire.Outcome, endpoint string) {
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	writeOutcome(c.w, outcome, endpoint)
}

// releaseQuota returns all quota of a failed request when nothing ran, and otherwise the
// tokens that were not used.
func releaseQuota(hold *admission.Hold, err error, used uint64) {
	if toFault(err).Kind.NotRun() {
		hold.Refund()
		return
	}
	hold.Release(used)
}

// recordAnswer counts an answered request and records the time that the answer took.
func (c *call) recordAnswer(status uint32) {
	c.countRequest(strconv.Itoa(int(status)))
	c.observeElapsed(metricAnswer)
}

// runStreamed runs a repeatable request with a streamed answer.
func (c *call) runStreamed(open *wire.AttemptOpen) {
	open.Repeatable = true
	job := c.newJob(open)
	job.Route.Model = open.Model
	hold, err := c.acquireQuota(open.OutputTokens)
	if err != nil {
		c.fail(err)
		return
	}
	sink := c.newStreamSink()
	sink.onFirstEvent = func() { c.observeElapsed(metricFirstToken) }
	end, origin, err := c.server.Relay.Do(c.r.Context(), job, sink)
	if err != nil {
		releaseQuota(hold, err, c.promptTokens+sink.outputTokens)
		c.recordFailure(err)
		sink.fail(err)
		return
	}
	hold.Release(c.promptTokens + sink.outputTokens)
	c.recordAnswer(end.Status)
	if between := sink.meanTokenInterval(); between > 0 {
		c.observe(metricMeanTokenInterval, between)
	}
	sink.finish(end, origin)
}

// writeGrace is the time after the deadline of the answer in which its last bytes may
// still be written to the caller.
const writeGrace = 5 * time.Second

func (c *call) newStreamSink() *streamSink {
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.deadlines.WholeAnswer.Add(writeGrace))
	return &streamSink{w: c.w, flush: control.Flush, resumeTokens: c.server.ResumeTokens, memory: c.memory}
}

func (c *call) runOnce(open *wire.AttemptOpen, key string) { c.runOnceFor(open, "", key) }

// runOnceFor runs a non-repeatable request under an idempotency key. The request
// continues when the caller disconnects, so that its outcome is recorded. service is
// empty for a request to a model.
func (c *call) runOnceFor(open *wire.AttemptOpen, service, key string) {
	job := c.newJob(open)
	job.Route.Model, job.Route.Service = open.Model, service
	hold, err := c.acquireQuota(open.OutputTokens)
	if err != nil {
		c.fail(err)
		return
	}
	ctx := context.WithoutCancel(c.r.Context())
	answer, err := c.server.Claims.Run(ctx, &claims.Request{
		IdempotencyKey: key,
		Digest:         claims.Digest(c.r.Method, c.r.URL.RequestURI(), c.body),
		Job:            job,
	})
	if err != nil {
		releaseQuota(hold, err, c.promptTokens)
		c.failWithScope(err, requestScope)
		return
	}
	c.recordAnswer(answer.Outcome.GetStatus())
	if answer.Replayed {
		hold.Refund()
		c.w.Header().Set("X-Idempotent-Replay", "true")
	}
	hold.Release(c.promptTokens + prompt.EstimateTokens(len(answer.Outcome.GetBody())))
	c.writeOutcome(answer.Outcome, answer.Endpoint)
}

// handleResume resumes a streamed answer that was begun on another connection, possibly
// at another entry.
func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	c, ok := s.startCall(w, r)
	if !ok {
		return
	}
	defer c.close()
	origin, err := s.ResumeTokens.Verify(chi.URLParam(r, "token"), c.contract.Organisation)
	if err != nil {
		c.fail(err)
		return
	}
	from, err := parseResumeFrom(r)
	if err != nil {
		c.fail(err)
		return
	}
	c.deadlines = admission.DeadlinesFor(c.contract, uint64(c.contract.MaxPromptTokens), c.startedAt, c.callerTimeout)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadlines.WholeAnswer)
	defer cancel()
	sink := c.newStreamSink()
	attempt := relay.ResumeFrom(ctx, s.Gates, origin, from)
	defer attempt.Detach()
	end, err := relay.ForwardAnswer(attempt, origin, sink, func() {})
	if err != nil {
		c.recordFailure(err)
		sink.fail(err)
		return
	}
	c.recordAnswer(end.Status)
	sink.finish(end, origin)
}

// parseResumeFrom returns the number of the first event to send: the query parameter
// from, or the number after the header Last-Event-ID, or 1 without either.
func parseResumeFrom(r *http.Request) (uint64, error) {
	value, after := r.URL.Query().Get("from"), uint64(0)
	if value == "" {
		value, after = r.Header.Get("Last-Event-ID"), 1
	}
	if value == "" {
		return 1, nil
	}
	from, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, fault.New(fault.InvalidRequest, "from or Last-Event-ID is not the number of an event")
	}
	return from + after, nil
}
