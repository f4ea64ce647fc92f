// Package experiment sends a planned workload to a fleet in an open loop and records
// the outcome and the latency of each request.
package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/trials/caller"
	"github.com/apricotspoke/apricotspoke/trials/completions"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// Run is a plan of requests together with what is needed to send them.
type Run struct {
	Entries []string // addresses, used round robin
	Model   string
	Key     func(organisation string) string
	Prompts *workload.Prompts
	Plan    []workload.PlannedRequest
}

// Do sends each request at its planned time, whether or not earlier ones have ended,
// and returns when all have ended. Latency counts from the planned time. When ctx ends,
// the rest of the plan is not sent.
func (r *Run) Do(ctx context.Context) *Recorder {
	client := caller.New()
	defer client.Close()
	recorder := newRecorder()
	var requests sync.WaitGroup
	started := time.Now()
	for _, planned := range r.Plan {
		due := started.Add(planned.At)
		if !wait.For(ctx, time.Until(due)) {
			break
		}
		requests.Go(func() { r.send(ctx, client, recorder, planned, due) })
	}
	requests.Wait()
	recorder.elapsed = time.Since(started)
	return recorder
}

func (r *Run) send(ctx context.Context, client *caller.Client, recorder *Recorder, planned workload.PlannedRequest, due time.Time) {
	request := completions.Request{
		Model:     r.Model,
		Prompt:    r.Prompts.Prompt(planned),
		MaxTokens: planned.OutputTokens,
		Stream:    true,
	}
	entry := r.Entries[planned.Number%len(r.Entries)]
	call := caller.Completion(entry, r.Key(planned.Organisation), request)
	delay := time.Since(due)
	result := client.Send(ctx, call)
	recorder.record(planned, Observation{
		Outcome:     classify(request, result),
		FirstToken:  delay + result.FirstToken,
		WholeAnswer: delay + result.Total,
	})
}

func classify(request completions.Request, result caller.Result) Outcome {
	switch {
	case result.OK() && result.Text == completions.Text(request.Prompt, request.OutputTokens()):
		return Correct
	case result.OK():
		return Wrong
	case result.NotRun():
		return Refused
	}
	return Failed
}
