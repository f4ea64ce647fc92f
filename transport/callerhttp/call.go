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
)

const (
	metricRequests      = "entry_requests"
	metricFirstToken    = "entry_first_token_ms"
	metricBetweenTokens = "entry_between_tokens_ms"
	metricAnswer        = "entry_answer_ms"
	keyHeader           = "Idempotency-Key"
	maxKeyBytes         = 255
	maxDeadline         = 24 * time.Hour
)

// call is one request of a caller on its way through the entry.
type call struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	id        string
	startedAt time.Time
	contract  *wire.Contract
	bodyHold  *reservation
	body      []byte
	limit     time.Duration // the caller's own deadline, 0 for none
	deadlines admission.Deadlines
	tokens    uint64
}

// begin identifies the caller and reads the request. The caller must end the
// call with close. On error the answer has been written.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := &call{server: s, w: w, r: r, id: relay.NewAttemptID(), startedAt: time.Now(), bodyHold: s.BodyBudget.open()}
	w.Header().Set("X-Request-Id", c.id)
	if err := c.read(); err != nil {
		c.fail(err)
		c.close()
		return nil, false
	}
	return c, true
}

func (c *call) read() error {
	if err := c.authenticate(); err != nil {
		return err
	}
	limit, err := deadlineHeader(c.r)
	if err != nil {
		return err
	}
	c.limit = limit
	if len(c.r.Header.Get(keyHeader)) > maxKeyBytes {
		return fault.New(fault.InvalidRequest, "an idempotency key may have %d bytes", maxKeyBytes)
	}
	c.body, err = readBody(c.w, c.r, c.bodyHold)
	if err != nil {
		return err
	}
	return c.authenticate() // the configuration may have changed while the body came
}

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
		return fault.New(fault.Unauthenticated, "the key is not known")
	}
	return nil
}

func deadlineHeader(r *http.Request) (time.Duration, error) {
	value := r.Header.Get("X-Deadline-Ms")
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, fault.New(fault.InvalidRequest, "X-Deadline-Ms is not a number of milliseconds")
	}
	if ms <= 0 {
		return 0, fault.New(fault.InvalidRequest, "the deadline has already passed")
	}
	return min(time.Duration(ms)*time.Millisecond, maxDeadline), nil
}

func (c *call) close() { c.bodyHold.close() }

// fail answers with an error that came before the claim of a request was known.
func (c *call) fail(err error) { c.failFor(err, scopeOf(c.r)) }

func (c *call) failFor(err error, of scope) {
	c.failed(err)
	writeFault(c.w, err, of)
}

// failed counts and logs an error. Lines of one kind are limited.
func (c *call) failed(err error) {
	e := typed(err)
	c.count(string(e.Kind))
	c.server.Log.RateLimitedWarn(string(e.Kind)).Str("request", c.id).Str("organisation", c.contract.GetOrganisation()).
		Str("kind", string(e.Kind)).Err(e.Cause).Msg("callers: A request has failed.")
}

func (c *call) count(outcome string) {
	c.server.Metrics.Count(metricRequests, metrics.Labels{Organisation: c.contract.GetOrganisation(), Class: outcome})
}

func (c *call) time(metric string) { c.observe(metric, time.Since(c.startedAt)) }

func (c *call) observe(metric string, d time.Duration) {
	labels := metrics.Labels{Organisation: c.contract.GetOrganisation(), Class: admission.LengthBand(c.tokens)}
	c.server.Metrics.ObserveDuration(metric, labels, d)
}

// job returns the relay's form of the request.
func (c *call) job(open *wire.AttemptOpen) *relay.Job {
	open.Request = c.id
	open.Organisation = c.contract.Organisation
	open.Method = c.r.Method
	open.ContentType = c.r.Header.Get("Content-Type")
	open.PromptTokens = c.tokens
	open.Priority = c.contract.Priority
	job := &relay.Job{Open: open, Body: c.body, FirstTokenDeadline: c.deadlines.FirstToken, AnswerDeadline: c.deadlines.WholeAnswer, ReserveBytes: c.bodyHold.grow}
	job.Route.PromptTokens = c.tokens
	job.Route.MaxOutputTokens = uint64(open.OutputTokens)
	job.Route.PrefixBlocks = open.PrefixBlocks
	if !c.deadlines.FirstToken.IsZero() {
		job.Route.FirstTokenTimeout = time.Until(c.deadlines.FirstToken)
	}
	return job
}

// take takes the quota of the request.
func (c *call) take(output uint32) (*admission.Hold, error) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadlines.WholeAnswer)
	defer cancel()
	return c.server.Quota.Acquire(ctx, c.contract, c.tokens+uint64(output))
}
