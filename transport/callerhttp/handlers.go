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

// completion handles requests to models.
func (s *Server) completion(path string, chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := s.begin(w, r)
		if !ok {
			return
		}
		defer c.close()
		open, err := c.openCompletion(path, chat)
		if err != nil {
			c.fail(err)
			return
		}
		s.Router.ObservePrompt(c.tokens)
		key := r.Header.Get(keyHeader)
		switch {
		case key != "":
			c.once(open, key)
		case open.Streamed:
			c.stream(open)
		default:
			c.whole(open)
		}
	}
}

func (c *call) openCompletion(path string, chat bool) (*wire.AttemptOpen, error) {
	p, err := parseCompletion(c.body, chat)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(c.contract.Models, p.model) {
		return nil, fault.New(fault.UnknownModel, "the contract has no model %q", p.model)
	}
	if p.tokens > uint64(c.contract.MaxPromptTokens) {
		return nil, fault.New(fault.PromptTooLong, "the prompt has about %d tokens, the contract allows %d", p.tokens, c.contract.MaxPromptTokens)
	}
	output := c.contract.MaxOutputTokens
	if p.output > 0 {
		output = min(output, p.output)
	}
	c.tokens = p.tokens
	c.deadlines = admission.DeadlinesFor(c.contract, p.tokens, c.startedAt, c.limit)
	return &wire.AttemptOpen{Model: p.model, Path: path, OutputTokens: output, PrefixBlocks: p.prefix, Streamed: p.stream}, nil
}

// service handles requests to plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, ok := s.begin(w, r)
	if !ok {
		return
	}
	defer c.close()
	name := chi.URLParam(r, "service")
	if !slices.Contains(c.contract.Services, name) {
		c.fail(fault.New(fault.UnknownService, "the contract has no service %q", name))
		return
	}
	c.tokens = prompt.EstimateTokens(len(c.body))
	c.deadlines = admission.DeadlinesFor(c.contract, c.tokens, c.startedAt, c.limit)
	c.deadlines.FirstToken = time.Time{} // services give whole answers
	open := &wire.AttemptOpen{Path: servicePath(r)}
	key := r.Header.Get(keyHeader)
	if key == "" && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		c.wholeOf(open, name)
		return
	}
	if key == "" {
		key = "generated-" + c.id
	}
	c.onceOf(open, name, key)
}

// servicePath is the path behind /services/NAME, with the query.
func servicePath(r *http.Request) string {
	path := "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func (c *call) whole(open *wire.AttemptOpen) { c.wholeOf(open, "") }

// wholeOf runs a repeatable request with a whole answer.
func (c *call) wholeOf(open *wire.AttemptOpen, service string) {
	open.Repeatable = true
	job := c.job(open)
	job.Route.Model, job.Route.Service = open.Model, service
	hold, err := c.take(open.OutputTokens)
	if err != nil {
		c.fail(err)
		return
	}
	sink := &wholeSink{hold: c.bodyHold}
	end, origin, err := c.server.Relay.Do(c.r.Context(), job, sink)
	if err != nil {
		release(hold, err, c.tokens+sink.used)
		c.fail(err)
		return
	}
	hold.Release(c.tokens + sink.used)
	c.finished(end.Status)
	writeOutcome(c.w, &wire.Outcome{Status: end.Status, ContentType: end.ContentType, Body: sink.body}, origin.Endpoint)
}

// release gives all quota back when nothing ran, else what was not used.
func release(hold *admission.Hold, err error, used uint64) {
	if typed(err).Kind.NotRun() {
		hold.Refund()
		return
	}
	hold.Release(used)
}

func (c *call) finished(status uint32) {
	c.count(strconv.Itoa(int(status)))
	c.time(metricAnswer)
}

// stream runs a repeatable request with a streamed answer.
func (c *call) stream(open *wire.AttemptOpen) {
	open.Repeatable = true
	job := c.job(open)
	job.Route.Model = open.Model
	hold, err := c.take(open.OutputTokens)
	if err != nil {
		c.fail(err)
		return
	}
	sink := c.streamSink()
	sink.onFirst = func() { c.time(metricFirstToken) }
	end, origin, err := c.server.Relay.Do(c.r.Context(), job, sink)
	if err != nil {
		release(hold, err, c.tokens+sink.used)
		c.failed(err)
		sink.fail(err)
		return
	}
	hold.Release(c.tokens + sink.used)
	c.finished(end.Status)
	if between := sink.betweenTokens(); between > 0 {
		c.observe(metricBetweenTokens, between)
	}
	sink.finish(end, origin)
}

// writeGrace is the time beyond its deadline that an answer's last bytes have.
const writeGrace = 5 * time.Second

func (c *call) streamSink() *streamSink {
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.deadlines.WholeAnswer.Add(writeGrace))
	return &streamSink{w: c.w, flush: control.Flush, tokens: c.server.ResumeTokens, hold: c.bodyHold}
}

func (c *call) once(open *wire.AttemptOpen, key string) { c.onceOf(open, "", key) }

// onceOf runs a non-repeatable request. It goes on when the caller leaves, so
// that its outcome is recorded.
func (c *call) onceOf(open *wire.AttemptOpen, service, key string) {
	job := c.job(open)
	job.Route.Model, job.Route.Service = open.Model, service
	hold, err := c.take(open.OutputTokens)
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
		release(hold, err, c.tokens)
		c.failFor(err, wholeRequest)
		return
	}
	c.finished(answer.Outcome.GetStatus())
	if answer.Replayed {
		hold.Refund()
		c.w.Header().Set("X-Idempotent-Replay", "true")
	}
	hold.Release(c.tokens + prompt.EstimateTokens(len(answer.Outcome.GetBody())))
	writeOutcome(c.w, answer.Outcome, answer.Endpoint)
}

// resume takes up a streamed answer that another connection or entry began.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	c, ok := s.begin(w, r)
	if !ok {
		return
	}
	defer c.close()
	origin, err := s.ResumeTokens.Verify(chi.URLParam(r, "token"), c.contract.Organisation)
	if err != nil {
		c.fail(err)
		return
	}
	from, err := resumeFrom(r)
	if err != nil {
		c.fail(err)
		return
	}
	c.deadlines = admission.DeadlinesFor(c.contract, uint64(c.contract.MaxPromptTokens), c.startedAt, c.limit)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadlines.WholeAnswer)
	defer cancel()
	sink := c.streamSink()
	attempt := relay.ResumeFrom(ctx, s.Gates, origin, from)
	defer attempt.Detach()
	end, err := relay.ForwardAnswer(attempt, origin, sink, func() {})
	if err != nil {
		c.failed(err)
		sink.fail(err)
		return
	}
	c.finished(end.Status)
	sink.finish(end, origin)
}

// resumeFrom reads the first event that the caller wants: "from", or the one
// after the header Last-Event-ID.
func resumeFrom(r *http.Request) (uint64, error) {
	value, after := r.URL.Query().Get("from"), uint64(0)
	if value == "" {
		value, after = r.Header.Get("Last-Event-ID"), 1
	}
	if value == "" {
		return 1, nil
	}
	from, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, fault.New(fault.InvalidRequest, "from is not the number of an event")
	}
	return from + after, nil
}
