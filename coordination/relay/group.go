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
	completionsPath = "/v1/completions"
	bytesPerToken   = 4
	copies          = 2 // of the text beside the body: itself and a segment's body

	minGroupRetry = time.Second
	maxGroupRetry = 30 * time.Second

	freedWithin = 3 * time.Second // a failed group's memory
	freedPause  = 100 * time.Millisecond
)

// longText is the prompt of a job that no endpoint can hold alone and several
// can; else empty. unserved is the routing's error.
func (r *Relay) longText(job *Job, unserved error) string {
	if fault.KindOf(unserved) != fault.OutOfService || !job.Open.Repeatable || job.Open.Path != completionsPath {
		return ""
	}
	if len(r.router.GroupCandidates(&job.Route)) < 2 {
		return ""
	}
	var body struct{ Prompt string }
	if json.Unmarshal(job.Body, &body) != nil {
		return "" // a list of prompts has no single text
	}
	return body.Prompt
}

// spread is one run of a prompt over a group of endpoints.
type spread struct {
	relay     *Relay
	job       *Job
	name      string // of the reservation
	endpoints map[string]*routing.Endpoint
	members   []group.Member
	lease     *groupLease
}

// runGroup reserves a group, prefills the segments in order and runs the attempt
// at the last member. All reservations and blocks are freed when it returns.
func (r *Relay) runGroup(ctx context.Context, job *Job, text string, sink Sink, began func()) (*wire.End, Origin, error) {
	if err := job.growOnce(copies * len(text)); err != nil {
		return nil, Origin{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s, err := r.reserveGroup(ctx, job)
	if err != nil {
		return nil, Origin{}, err
	}
	defer s.lease.releaseAll(s.members)
	if err := s.inTime(); err != nil {
		return nil, Origin{}, err
	}
	for _, m := range s.members {
		go s.lease.renew(m, cancel)
	}
	return s.run(ctx, text, sink, began)
}

// growOnce counts the memory of a spread prompt, once for all its groups.
func (j *Job) growOnce(bytes int) error {
	if j.grown || j.ReserveBytes == nil {
		return nil
	}
	if err := j.ReserveBytes(bytes); err != nil {
		return err
	}
	j.grown = true
	return nil
}

// reserveGroup reserves a group or refuses at once. Only a job whose group has
// failed waits a little, holding nothing: its own memory is being freed.
func (r *Relay) reserveGroup(ctx context.Context, job *Job) (*spread, error) {
	until := time.Now()
	if len(job.Route.Excluded) > 0 {
		until = until.Add(freedWithin)
	}
	for {
		s := r.newSpread(ctx, job)
		if s.members != nil {
			return s, nil
		}
		if !time.Now().Before(until) {
			return nil, s.noRoom()
		}
		select {
		case <-time.After(freedPause):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (r *Relay) newSpread(ctx context.Context, job *Job) *spread {
	s := &spread{relay: r, job: job, name: NewAttemptID(), endpoints: make(map[string]*routing.Endpoint)}
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

// inTime refuses a prompt whose segments, one after the other, take longer than
// its first token may.
func (s *spread) inTime() error {
	var predicted time.Duration
	for _, m := range s.members {
		predicted += s.endpoints[m.Name].PrefillTime(m.Tokens)
	}
	left := s.job.Route.FirstTokenTimeout
	if left == 0 || predicted <= left {
		return nil
	}
	return fault.New(fault.DeadlineUnmeetable, "the first token is expected in %s, its deadline is %s",
		predicted.Round(time.Millisecond), left.Round(time.Millisecond)).After(predicted - left)
}

// noRoom tells to come back after the time that a prompt like this one takes.
func (s *spread) noRoom() error {
	wait := minGroupRetry
	for _, e := range s.endpoints {
		wait = max(wait, e.PrefillTime(s.job.Route.PromptTokens))
	}
	return fault.New(fault.Overloaded, "the endpoints together lack memory for this prompt now").After(min(wait, maxGroupRetry))
}

func (s *spread) run(ctx context.Context, text string, sink Sink, began func()) (*wire.End, Origin, error) {
	var imports []string
	last := len(s.members) - 1
	for i, m := range s.members[:last] {
		size := int(m.Tokens) * bytesPerToken
		block, origin, err := s.prefill(ctx, i, text[:size], imports)
		if err != nil {
			return nil, origin, ran(err, len(imports) > 0)
		}
		text = text[size:]
		imports = append(imports, "http://"+s.lease.address(m.Name)+"/kv/blocks/"+block)
	}
	m := s.members[last]
	origin := s.origin(m.Name)
	open := openFor(s.job, origin)
	open.Reservation, open.KvImports, open.PromptTokens = s.name, imports, m.Tokens
	end, err := s.relay.runAttempt(ctx, s.endpoints[m.Name], true, origin, open, s.job.Body, sink, began)
	return end, origin, ran(err, true)
}

// ran keeps a refusal from saying that nothing ran when segments have run.
func ran(err error, some bool) error {
	var refusal *Refusal
	if !some || !errors.As(err, &refusal) {
		return err
	}
	return &attemptFailure{cause: fault.Wrap(refusal.Cause, fault.EndpointFailed, "a member of the group refused its segment")}
}

func (s *spread) origin(member string) Origin {
	return OriginOf(routing.Choice{Endpoint: s.endpoints[member]}, NewAttemptID(), s.job)
}

// prefillBody is the body of a prefill call.
type prefillBody struct {
	Attempt string   `json:"attempt"`
	Segment int      `json:"segment"`
	Tokens  uint64   `json:"tokens"`
	Imports []string `json:"imports"`
	Text    string   `json:"text"`
}

// prefill computes one segment at its member and returns the block it left there.
func (s *spread) prefill(ctx context.Context, segment int, text string, imports []string) (string, Origin, error) {
	m := s.members[segment]
	origin := s.origin(m.Name)
	body, err := json.Marshal(prefillBody{Attempt: origin.Attempt, Segment: segment, Tokens: m.Tokens, Imports: imports, Text: text})
	if err != nil {
		return "", origin, err
	}
	open := openFor(s.job, origin)
	open.Method, open.Path, open.ContentType = http.MethodPost, "/kv/prefill", "application/json"
	open.PromptTokens, open.OutputTokens, open.PrefixBlocks = m.Tokens, 0, nil
	open.BodyBytes, open.Reservation, open.Streamed = uint64(len(body)), s.name, false
	var answer blockSink
	end, err := s.relay.runAttempt(ctx, s.endpoints[m.Name], true, origin, open, body, &answer, func() {})
	if err != nil {
		return "", origin, err
	}
	var made struct{ Block string }
	if end.Status != http.StatusOK || json.Unmarshal([]byte(answer.String()), &made) != nil || made.Block == "" {
		failed := fault.New(fault.EndpointFailed, "endpoint %s answered %d to a segment", m.Name, end.Status)
		return "", origin, &attemptFailure{cause: failed}
	}
	return made.Block, origin, nil
}

// blockSink keeps the short answer of a prefill call.
type blockSink struct{ strings.Builder }

// maxBlockAnswer bounds that answer in bytes.
const maxBlockAnswer = 64 << 10

// Reset implements Sink: a segment is not repeated in its place.
func (b *blockSink) Reset() bool { return false }

// Chunk implements Sink.
func (b *blockSink) Chunk(_ Origin, _ uint64, chunk *wire.Chunk) error {
	if b.Len()+len(chunk.Data) > maxBlockAnswer {
		return &attemptFailure{cause: fault.New(fault.EndpointFailed, "the answer to a segment is too long")}
	}
	b.Write(chunk.Data)
	return nil
}
