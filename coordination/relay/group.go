package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/group"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	completionsPath = "/v1/completions" // the only path whose prompts are split into segments
	bytesPerToken   = 4                 // estimate; must be the same as in protocol/prompt, which computes the token counts
	textCopies      = 2                 // copies of the prompt beside Job.Body: the decoded text and the body of a prefill call

	minGroupRetryAfter = time.Second
	maxGroupRetryAfter = 30 * time.Second

	groupReleaseTimeout  = 3 * time.Second        // for a failed group's memory to become free again
	groupReserveInterval = 100 * time.Millisecond // between attempts to reserve a group
)

// groupPrompt returns the prompt of a job that must run on a group of
// endpoints, because no single endpoint has the memory for it, and "" if the
// job cannot run on a group. routeErr is the error of the router.
func (r *Relay) groupPrompt(job *Job, routeErr error) string {
	if fault.KindOf(routeErr) != fault.OutOfService || !job.Open.Repeatable || job.Open.Path != completionsPath {
		return ""
	}
	if len(r.router.GroupCandidates(&job.Route)) < 2 {
		return ""
	}
	var body struct{ Prompt string }
	if json.Unmarshal(job.Body, &body) != nil {
		return "" // the prompt is a list, which is not split into segments
	}
	return body.Prompt
}

// groupSession is one run of a prompt on a group of endpoints.
type groupSession struct {
	relay       *Relay
	job         *Job
	reservation string // identifier of the reservation at every member
	endpoints   map[string]*routing.Endpoint
	members     []group.Member
	lease       *groupLease
}

// runGroup reserves a group, prefills the segments of the prompt in order and
// runs the attempt at the last member. All reservations, and with them the
// blocks at the members, are released when it returns.
func (r *Relay) runGroup(ctx context.Context, job *Job, text string, sink Sink, onFirstChunk func()) (*wire.End, Origin, error) {
	if err := job.reserveBytesOnce(textCopies * len(text)); err != nil {
		return nil, Origin{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s, err := r.reserveGroup(ctx, job)
	if err != nil {
		return nil, Origin{}, err
	}
	defer s.lease.releaseAll(s.members)
	if err := s.checkDeadline(); err != nil {
		return nil, Origin{}, err
	}
	for _, m := range s.members {
		go s.lease.renew(m, cancel)
	}
	return s.run(ctx, text, sink, onFirstChunk)
}

// reserveBytesOnce reserves memory for splitting a prompt. Later groups of the
// same job use the same memory.
func (j *Job) reserveBytesOnce(bytes int) error {
	if j.bytesReserved || j.ReserveBytes == nil {
		return nil
	}
	if err := j.ReserveBytes(bytes); err != nil {
		return err
	}
	j.bytesReserved = true
	return nil
}

// reserveGroup reserves a group. If the endpoints lack memory, it fails at
// once, unless an earlier attempt of the job was refused or failed. It then
// tries for up to groupReleaseTimeout, without holding a reservation in
// between, because the memory of an earlier group of the job may still be being
// released.
func (r *Relay) reserveGroup(ctx context.Context, job *Job) (*groupSession, error) {
	until := time.Now()
	if len(job.Route.Excluded) > 0 {
		until = until.Add(groupReleaseTimeout)
	}
	for {
		s := r.newGroupSession(ctx, job)
		if s.members != nil {
			return s, nil
		}
		if !time.Now().Before(until) {
			return nil, s.insufficientMemory()
		}
		select {
		case <-time.After(groupReserveInterval):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// newGroupSession makes one attempt to reserve a group. The session has no
// members if that fails.
func (r *Relay) newGroupSession(ctx context.Context, job *Job) *groupSession {
	s := &groupSession{relay: r, job: job, reservation: NewAttemptID(), endpoints: make(map[string]*routing.Endpoint)}
	job.Route.Now = time.Now()
	var candidates []group.Candidate
	for _, e := range r.router.GroupCandidates(&job.Route) {
		s.endpoints[e.Name()] = e
		candidates = append(candidates, group.Candidate{Name: e.Name(), FreeTokens: e.FreeTokens(), MaxFreeTokens: e.Report.GetLoad().GetMemoryTokensTotal()})
	}
	s.lease = newGroupLease(ctx, r.gates, s)
	s.members = group.Reserve(job.Route.PromptTokens, job.Route.MaxOutputTokens, candidates, s.lease)
	return s
}

// checkDeadline returns an error if the predicted time to prefill all segments,
// one after the other, exceeds the time left to the first token.
func (s *groupSession) checkDeadline() error {
	var predicted time.Duration
	for _, m := range s.members {
		predicted += s.endpoints[m.Name].PrefillTime(m.Tokens)
	}
	left := s.job.Route.FirstTokenTimeout
	if left == 0 || predicted <= left {
		return nil
	}
	return fault.New(fault.DeadlineUnmeetable, "the first token is expected in %s, but its deadline is in %s",
		predicted.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(predicted - left)
}

// insufficientMemory returns an Overloaded error. Its retry time is the longest
// that one of the endpoints takes to prefill the whole prompt, from
// minGroupRetryAfter to maxGroupRetryAfter.
func (s *groupSession) insufficientMemory() error {
	wait := minGroupRetryAfter
	for _, e := range s.endpoints {
		wait = max(wait, e.PrefillTime(s.job.Route.PromptTokens))
	}
	return fault.New(fault.Overloaded, "the endpoints together have too little free memory for this prompt").WithRetryAfter(min(wait, maxGroupRetryAfter))
}

// run prefills all segments but the last with prefill calls, each of which
// imports the blocks of the segments before it. The last segment is prefilled
// by the attempt that decodes the answer.
func (s *groupSession) run(ctx context.Context, text string, sink Sink, onFirstChunk func()) (*wire.End, Origin, error) {
	var imports []string
	last := len(s.members) - 1
	for i, m := range s.members[:last] {
		size := int(m.Tokens) * bytesPerToken
		block, origin, err := s.prefill(ctx, i, text[:size], imports)
		if err != nil {
			return nil, origin, maskRefusal(err, len(imports) > 0)
		}
		text = text[size:]
		imports = append(imports, "http://"+s.lease.address(m.Name)+"/kv/blocks/"+block)
	}
	m := s.members[last]
	origin := s.origin(m.Name)
	open := newAttemptOpen(s.job, origin)
	open.Reservation, open.KvImports, open.PromptTokens = s.reservation, imports, m.Tokens
	end, err := s.relay.runAttempt(ctx, s.endpoints[m.Name], true, origin, open, s.job.Body, sink, onFirstChunk)
	return end, origin, maskRefusal(err, true)
}

// maskRefusal turns a refusal into a failure if segments have run, because a
// refusal would claim that nothing has run.
func maskRefusal(err error, segmentsRan bool) error {
	var refusal *Refusal
	if !segmentsRan || !errors.As(err, &refusal) {
		return err
	}
	return &attemptFailure{cause: fault.Wrap(refusal.Cause, fault.EndpointFailed, "a member of the group refused its segment")}
}

func (s *groupSession) origin(member string) Origin {
	return OriginOf(routing.Choice{Endpoint: s.endpoints[member]}, NewAttemptID(), s.job)
}

// prefillBody is the JSON body of a prefill call.
type prefillBody struct {
	Attempt string   `json:"attempt"`
	Segment int      `json:"segment"`
	Tokens  uint64   `json:"tokens"`
	Imports []string `json:"imports"`
	Text    string   `json:"text"`
}

// prefill prefills one segment at its member and returns the identifier of the
// block that the member stored.
func (s *groupSession) prefill(ctx context.Context, segment int, text string, imports []string) (string, Origin, error) {
	m := s.members[segment]
	origin := s.origin(m.Name)
	body, err := json.Marshal(prefillBody{Attempt: origin.Attempt, Segment: segment, Tokens: m.Tokens, Imports: imports, Text: text})
	if err != nil {
		return "", origin, err
	}
	open := newAttemptOpen(s.job, origin)
	open.Method, open.Path, open.ContentType = http.MethodPost, "/kv/prefill", "application/json"
	open.PromptTokens, open.OutputTokens, open.PrefixBlocks = m.Tokens, 0, nil
	open.BodyBytes, open.Reservation, open.Streamed = uint64(len(body)), s.reservation, false
	var answer blockSink
	end, err := s.relay.runAttempt(ctx, s.endpoints[m.Name], true, origin, open, body, &answer, func() {})
	if err != nil {
		return "", origin, err
	}
	var result struct{ Block string }
	if end.Status != http.StatusOK || json.Unmarshal([]byte(answer.String()), &result) != nil || result.Block == "" {
		failed := fault.New(fault.EndpointFailed, "endpoint %s answered %d to a prefill call", m.Name, end.Status)
		return "", origin, &attemptFailure{cause: failed}
	}
	return result.Block, origin, nil
}

// blockSink buffers the short answer of a prefill call.
type blockSink struct{ strings.Builder }

// maxBlockAnswerBytes limits the answer of a prefill call.
const maxBlockAnswerBytes = 64 << 10

// Reset implements Sink. It returns false, because a failed prefill call is not
// retried by itself: Relay.Do runs the whole request again.
func (b *blockSink) Reset() bool { return false }

// Chunk implements Sink.
func (b *blockSink) Chunk(_ Origin, _ uint64, chunk *wire.Chunk) error {
	if b.Len()+len(chunk.Data) > maxBlockAnswerBytes {
		return &attemptFailure{cause: fault.New(fault.EndpointFailed, "the answer to a prefill call is too long")}
	}
	b.Write(chunk.Data)
	return nil
}
