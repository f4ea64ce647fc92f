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
	maxRefusals  = 8
	sharedBlocks = 2 // leading blocks that an organisation's prompts share
)

// deadlines are those of every organisation in the experiments.
var deadlines = &wire.Contract{Deadlines: []*wire.DeadlineBand{
	{UpToTokens: 4_000, FirstTokenMs: 2_000, WholeAnswerMs: 20_000},
	{UpToTokens: 32_000, FirstTokenMs: 6_000, WholeAnswerMs: 40_000},
	{UpToTokens: 100_000, FirstTokenMs: 20_000, WholeAnswerMs: 60_000},
	{UpToTokens: 1 << 20, FirstTokenMs: 120_000, WholeAnswerMs: 240_000},
}}

// Outcome is what a caller saw of one request.
type Outcome struct {
	workload.PlannedRequest
	FirstToken time.Duration // since the planned time; 0 when there was none
	Total      time.Duration // since the planned time, of any end
	Err        error         // nil for a whole answer
	OnTime     bool          // whole and in time
	Attempts   int           // sent to an engine or a gate's queue
	Refusals   int           // of the attempts
	Retried    bool          // it was refused and came again after Retry-After
	Endpoint   string
}

// Refused reports whether nothing ran.
func (o Outcome) Refused() bool { return o.Err != nil && fault.From(o.Err).Kind.NotRun() }

// Job is one planned request with the prefix that it shares with others.
type Job struct {
	workload.PlannedRequest
	Prefix []uint64
}

// Jobs gives the prompts of a plan the prefix of their organisation.
func Jobs(plan []workload.PlannedRequest) []Job {
	jobs := make([]Job, len(plan))
	for i, p := range plan {
		jobs[i] = Job{PlannedRequest: p}
		for b := range min(sharedBlocks, p.PromptTokens/2/prompt.BlockTokens) {
			jobs[i].Prefix = append(jobs[i].Prefix, blockName(p.Organisation, b))
		}
	}
	return jobs
}

func blockName(owner string, number int) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", owner, number)
	return h.Sum64()
}

// AcquireFunc spends an organisation's quota; nil spends nothing.
type AcquireFunc func(entry int, job Job) (release func(), err error)

// Run sends every job at its time and waits for all ends.
func (f *Fleet) Run(jobs []Job, take AcquireFunc) []Outcome {
	outcomes := make([]Outcome, len(jobs))
	start := time.Now()
	var all sync.WaitGroup
	for i, job := range jobs {
		time.Sleep(time.Until(start.Add(job.At)))
		all.Go(func() {
			outcomes[i] = f.one(job, take)
			if after := retryAfter(outcomes[i]); f.again && after > 0 {
				time.Sleep(after)
				outcomes[i] = f.one(job, take)
				outcomes[i].Retried = true
			}
		})
	}
	all.Wait()
	return outcomes
}

// retryAfter is when a refused caller is to return, 0 when it was not refused.
func retryAfter(o Outcome) time.Duration {
	if !o.Refused() {
		return 0
	}
	return fault.From(o.Err).RetryAfter
}

func (f *Fleet) one(job Job, take AcquireFunc) Outcome {
	due := time.Now()
	at := job.Number % len(f.entries)
	o := Outcome{PlannedRequest: job.PlannedRequest}
	if take != nil {
		release, err := take(at, job)
		if err != nil {
			o.Err, o.Total = err, time.Since(due)
			return o
		}
		defer release()
	}
	f.serve(f.entries[at], job, &o, due)
	o.Total = time.Since(due)
	limits := admission.DeadlinesFor(deadlines, uint64(job.PromptTokens), due, 0)
	o.OnTime = o.Err == nil && o.FirstToken <= limits.FirstToken.Sub(due) && o.Total <= limits.WholeAnswer.Sub(due)
	return o
}

// serve tries endpoints as an entry's relay does.
func (f *Fleet) serve(e *entry, job Job, o *Outcome, due time.Time) {
	limits := admission.DeadlinesFor(deadlines, uint64(job.PromptTokens), due, 0)
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

func (f *Fleet) attempt(choice routing.Choice, job Job, o *Outcome, due time.Time, limits admission.Deadlines) error {
	id := fmt.Sprintf("r%07d-%d-%d", job.Number, due.UnixNano(), o.Attempts)
	own := choice.Endpoint.InFlight
	own.Start(id, uint64(job.PromptTokens), choice.LongPrompt)
	defer own.End(id)
	body := encodeBlocks(job.Prefix)
	a, refusal := f.gates[choice.Endpoint.Name()].Admit(&wire.AttemptOpen{
		Attempt: id, Organisation: job.Organisation, Model: model, Path: "/v1/completions",
		PromptTokens: uint64(job.PromptTokens), OutputTokens: uint32(job.OutputTokens), Repeatable: true, Streamed: true,
		FirstTokenMs: left(limits.FirstToken), WholeAnswerMs: left(limits.WholeAnswer),
		BodyBytes: uint64(len(body)), PrefixBlocks: job.Prefix,
	})
	if refusal != nil {
		return refusal
	}
	a.AddReader()
	defer a.RemoveReader()
	a.Submit(body)
	return f.follow(a, func() {
		own.FirstToken(id)
		o.FirstToken = time.Since(due)
	}, limits)
}

func left(until time.Time) uint32 { return uint32(max(1, time.Until(until).Milliseconds())) }

// follow reads an answer to its end. A first token that does not come by its
// deadline ends the attempt.
func (f *Fleet) follow(a *gate.Attempt, first func(), limits admission.Deadlines) error {
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	timer := time.AfterFunc(time.Until(limits.FirstToken), cancel)
	defer timer.Stop()
	for from := uint64(1); ; {
		messages, done, err := a.Read(ctx, from)
		if err != nil || done {
			a.Cancel()
			return fault.New(fault.Timeout, "no answer by its deadline")
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
