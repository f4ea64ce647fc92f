package bench

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

const (
	maxRefusals  = 8 // after which an entry gives the last refusal to the caller
	sharedBlocks = 2 // leading blocks that an organisation's prompts have in common
)

// deadlineContract holds the deadlines of every organisation in the experiments.
var deadlineContract = &wire.Contract{Deadlines: []*wire.DeadlineBand{
	{UpToTokens: 4_000, FirstTokenMs: 2_000, WholeAnswerMs: 20_000},
	{UpToTokens: 32_000, FirstTokenMs: 6_000, WholeAnswerMs: 40_000},
	{UpToTokens: 100_000, FirstTokenMs: 20_000, WholeAnswerMs: 60_000},
	{UpToTokens: 1 << 20, FirstTokenMs: 120_000, WholeAnswerMs: 240_000},
}}

// Outcome is the result of one request as its caller sees it.
type Outcome struct {
	workload.PlannedRequest
	FirstToken time.Duration // since the request was sent; 0 when no token came
	Total      time.Duration // from sending to any end
	Err        error         // nil for a complete answer
	OnTime     bool          // complete and within both deadlines
	Attempts   int           // choices of an endpoint, with those that the gate refused
	Refusals   int           // attempts that were refused before anything ran
	Retried    bool          // it was refused and sent again after Retry-After
	Endpoint   string        // of the last attempt
}

// Refused reports whether the request failed before anything ran.
func (o Outcome) Refused() bool { return o.Err != nil && fault.From(o.Err).Kind.NotRun() }

// Job is one planned request with the prefix blocks that it shares with others.
type Job struct {
	workload.PlannedRequest
	Prefix []uint64
}

// Jobs gives each prompt of a plan the prefix blocks of its organisation.
func Jobs(plan []workload.PlannedRequest) []Job {
	jobs := make([]Job, len(plan))
	for i, p := range plan {
		jobs[i] = Job{PlannedRequest: p}
		for b := range min(sharedBlocks, p.PromptTokens/2/prompt.BlockTokens) {
			jobs[i].Prefix = append(jobs[i].Prefix, blockHash(p.Organisation, b))
		}
	}
	return jobs
}

// blockHash identifies a prefix block by its owner and its position.
func blockHash(owner string, number int) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", owner, number)
	return h.Sum64()
}

// AcquireFunc takes a request from its organisation's quota at an entry. A nil
// AcquireFunc admits every request.
type AcquireFunc func(entry int, job Job) (release func(), err error)

// Run sends every job at its planned time and waits until all have ended.
func (f *Fleet) Run(jobs []Job, acquire AcquireFunc) []Outcome {
	outcomes := make([]Outcome, len(jobs))
	start := time.Now()
	var all sync.WaitGroup
	for i, job := range jobs {
		time.Sleep(time.Until(start.Add(job.At)))
		all.Go(func() {
			outcomes[i] = f.runJob(job, acquire)
			if after := retryAfter(outcomes[i]); f.retryRefused && after > 0 {
				time.Sleep(after)
				outcomes[i] = f.runJob(job, acquire)
				outcomes[i].Retried = true
			}
		})
	}
	all.Wait()
	return outcomes
}

// retryAfter is the Retry-After of a refusal, 0 when the request was not refused.
func retryAfter(o Outcome) time.Duration {
	if !o.Refused() {
		return 0
	}
	return fault.From(o.Err).RetryAfter
}

// runJob sends one request through an entry and waits for its end.
func (f *Fleet) runJob(job Job, acquire AcquireFunc) Outcome {
	due := time.Now()
	entryIndex := job.Number % len(f.entries)
	o := Outcome{PlannedRequest: job.PlannedRequest}
	if acquire != nil {
		release, err := acquire(entryIndex, job)
		if err != nil {
			o.Err, o.Total = err, time.Since(due)
			return o
		}
		defer release()
	}
	f.serve(f.entries[entryIndex], job, &o, due)
	o.Total = time.Since(due)
	limits := admission.DeadlinesFor(deadlineContract, uint64(job.PromptTokens), due, 0)
	o.OnTime = o.Err == nil && o.FirstToken <= limits.FirstToken.Sub(due) && o.Total <= limits.WholeAnswer.Sub(due)
	return o
}

// serve tries endpoints in the same way as the relay of an entry.
func (f *Fleet) serve(e *entry, job Job, o *Outcome, due time.Time) {
	limits := admission.DeadlinesFor(deadlineContract, uint64(job.PromptTokens), due, 0)
	route := routing.Request{Model: model, PromptTokens: uint64(job.PromptTokens), MaxOutputTokens: uint64(job.OutputTokens), PrefixBlocks: job.Prefix}
	e.router.ObservePrompt(route.PromptTokens)
	e.budget.Deposit()
	refusals := 0
	for {
		route.View, _ = f.view.Current()
		route.Now = time.Now()
		route.FirstTokenTimeout = max(time.Millisecond, time.Until(limits.FirstToken))
		choice, err := e.router.Choose(&route)
		if err != nil {
			if o.Err == nil {
				o.Err = err
			}
			return
		}
		o.Endpoint = choice.Endpoint.Name()
		o.Attempts++
		o.Err = f.attempt(choice, job, o, due, limits)
		if o.Err == nil || o.FirstToken > 0 || time.Now().After(limits.FirstToken) {
			return
		}
		if o.Refused() {
			o.Refusals++
			if refusals++; refusals >= maxRefusals {
				return
			}
		} else if !e.budget.TryWithdraw() {
			return
		}
		route.Excluded = append(slices.Clip(route.Excluded), o.Endpoint)
	}
}

// attempt sends the request to the gate of one endpoint and reads the answer.
func (f *Fleet) attempt(choice routing.Choice, job Job, o *Outcome, due time.Time, limits admission.Deadlines) error {
	id := fmt.Sprintf("r%07d-%d-%d", job.Number, due.UnixNano(), o.Attempts)
	inFlight := choice.Endpoint.InFlight
	inFlight.Start(id, uint64(job.PromptTokens), choice.LongPrompt)
	defer inFlight.End(id)
	body := encodeBlocks(job.Prefix)
	a, refusal := f.gates[choice.Endpoint.Name()].Admit(&wire.AttemptOpen{
		Attempt: id, Organisation: job.Organisation, Model: model, Path: "/v1/completions",
		PromptTokens: uint64(job.PromptTokens), OutputTokens: uint32(job.OutputTokens), Repeatable: true, Streamed: true,
		FirstTokenMs: remainingMs(limits.FirstToken), WholeAnswerMs: remainingMs(limits.WholeAnswer),
		BodyBytes: uint64(len(body)), PrefixBlocks: job.Prefix,
	})
	if refusal != nil {
		return refusal
	}
	a.AddReader()
	defer a.RemoveReader()
	a.Submit(body)
	return f.readAnswer(a, func() {
		inFlight.FirstToken(id)
		o.FirstToken = time.Since(due)
	}, limits)
}

func remainingMs(until time.Time) uint32 { return uint32(max(1, time.Until(until).Milliseconds())) }

// readAnswer reads an answer to its end and calls first at its first token. It
// cancels the attempt when the first token or the end misses its deadline.
func (f *Fleet) readAnswer(a *gate.Attempt, first func(), limits admission.Deadlines) error {
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	timer := time.AfterFunc(time.Until(limits.FirstToken), cancel)
	defer timer.Stop()
	for from := uint64(1); ; {
		messages, done, err := a.Read(ctx, from)
		if err != nil || done {
			a.Cancel()
			return fault.New(fault.Timeout, "deadline passed without an answer")
		}
		for _, m := range messages {
			if from == 1 && m.GetChunk() != nil {
				timer.Reset(time.Until(limits.WholeAnswer))
				first()
			}
			from = m.Sequence + 1
			a.Acknowledge(m.Sequence)
			if refused := m.GetRefused(); refused != nil {
				return fault.FromWire(refused.Failure)
			}
			if end := m.GetEnd(); end != nil {
				return fault.FromWire(end.Failure)
			}
		}
	}
}
