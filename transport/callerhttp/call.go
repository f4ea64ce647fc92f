package callerhttp

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/bodybudget"
)

const (
	metricRequests          = "entry_requests"
	metricFirstToken        = "entry_first_token_ms"
	metricMeanTokenInterval = "entry_between_tokens_ms" // mean of each streamed answer of at least two tokens
	metricAnswer            = "entry_answer_ms"
	idempotencyKeyHeader    = "Idempotency-Key"
	maxIdempotencyKeyBytes  = 255
	maxDeadline             = 24 * time.Hour // a longer X-Deadline-Ms is shortened to this
)

// call is one request of a caller while the entry handles it.
type call struct {
	server        *Server
	w             http.ResponseWriter
	r             *http.Request
	id            string
	startedAt     time.Time
	contract      *wire.Contract
	memory        *reservation
	body          []byte
	callerTimeout time.Duration // from X-Deadline-Ms, 0 for none
	deadlines     admission.Deadlines
	promptTokens  uint64
}

// startCall authenticates the request and reads its body. When it returns false, the
// error response has been sent; otherwise the handler must call close.
func (s *Server) startCall(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := &call{server: s, w: w, r: r, id: relay.NewAttemptID(), startedAt: time.Now(), memory: s.BodyBudget.newReservation()}
	w.Header().Set("X-Request-Id", c.id)
	if err := c.readRequest(); err != nil {
		c.refuse(err)
		return nil, false
	}
	return c, true
}

// refuse sends the response for an error of readRequest, and ends the call. If the body has not
// been read, it closes the connection.
func (c *call) refuse(err error) {
	if c.r.ContentLength != 0 && c.memory.body == nil {
		bodybudget.CloseUnread(c.w)
	}
	c.fail(err)
	c.close()
}

func (c *call) readRequest() error {
	if err := c.authenticate(); err != nil {
		return err
	}
	limit, err := parseDeadline(c.r)
	if err != nil {
		return err
	}
	c.callerTimeout = limit
	if len(c.r.Header.Get(idempotencyKeyHeader)) > maxIdempotencyKeyBytes {
		return fault.New(fault.InvalidRequest, "the Idempotency-Key header is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	c.body, err = readBody(c.w, c.r, c.memory)
	if err != nil {
		return err
	}
	return c.authenticate() // the configuration may have changed while the body arrived
}

// authenticate sets the contract that the bearer key of the request belongs to.
func (c *call) authenticate() error {
	view, err := c.server.Store.Current()
	if err != nil {
		return err
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return fault.New(fault.Unauthenticated, "the request has no bearer key")
	}
	c.contract = view.ContractByKey(key)
	if c.contract == nil {
		return fault.New(fault.Unauthenticated, "the bearer key belongs to no contract")
	}
	return nil
}

// parseDeadline returns the time that the caller allows in X-Deadline-Ms, 0 without the
// header.
func parseDeadline(r *http.Request) (time.Duration, error) {
	value := r.Header.Get("X-Deadline-Ms")
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, fault.New(fault.InvalidRequest, "X-Deadline-Ms is not a number of milliseconds")
	}
	if ms <= 0 {
		return 0, fault.New(fault.InvalidRequest, "the deadline in X-Deadline-Ms has already passed")
	}
	return min(time.Duration(ms)*time.Millisecond, maxDeadline), nil
}

func (c *call) close() { c.memory.close() }

// fail sends the response for an error that occurred before the claim of the request was
// looked up.
func (c *call) fail(err error) { c.failWithScope(err, scopeBeforeClaim(c.r)) }

func (c *call) failWithScope(err error, scope notRunScope) {
	c.recordFailure(err)
	writeFault(c.w, err, scope)
}

// recordFailure counts and logs an error. The log lines of each kind are rate limited.
func (c *call) recordFailure(err error) {
	e := toFault(err)
	c.countRequest(string(e.Kind))
	c.server.Log.RateLimitedWarn(string(e.Kind)).Str("request", c.id).Str("organisation", c.contract.GetOrganisation()).
		Str("kind", string(e.Kind)).Err(e).Msg("A caller's request failed.")
}

// countRequest counts the request under its outcome: a status code or the kind of an
// error.
func (c *call) countRequest(outcome string) {
	c.server.Metrics.Count(metricRequests, metrics.Labels{Organisation: c.contract.GetOrganisation(), Class: outcome})
}

// observeElapsed records the time since the request arrived.
func (c *call) observeElapsed(metric string) { c.observe(metric, time.Since(c.startedAt)) }

func (c *call) observe(metric string, d time.Duration) {
	labels := metrics.Labels{Organisation: c.contract.GetOrganisation(), Class: admission.LengthBand(c.promptTokens)}
	c.server.Metrics.ObserveDuration(metric, labels, d)
}

// newJob fills in the fields of open that all requests share, and returns the relay's job
// for it.
func (c *call) newJob(open *wire.AttemptOpen) *relay.Job {
	open.Request = c.id
	open.Organisation = c.contract.Organisation
	open.Method = c.r.Method
	open.ContentType = c.r.Header.Get("Content-Type")
	open.PromptTokens = c.promptTokens
	open.Priority = c.contract.Priority
	job := &relay.Job{Open: open, Body: c.body, FirstTokenDeadline: c.deadlines.FirstToken, AnswerDeadline: c.deadlines.WholeAnswer, ReserveBytes: c.memory.grow}
	job.Route.PromptTokens = c.promptTokens
	job.Route.MaxOutputTokens = uint64(open.OutputTokens)
	job.Route.PrefixBlocks = open.PrefixBlocks
	if !c.deadlines.FirstToken.IsZero() {
		job.Route.FirstTokenTimeout = time.Until(c.deadlines.FirstToken)
	}
	return job
}

// acquireQuota acquires the contract's quota for the prompt and at most outputTokens. It
// waits for quota until the deadline of the whole answer.
func (c *call) acquireQuota(outputTokens uint32) (*admission.Hold, error) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadlines.WholeAnswer)
	defer cancel()
	return c.server.Quota.Acquire(ctx, c.contract, c.promptTokens+uint64(outputTokens))
}
