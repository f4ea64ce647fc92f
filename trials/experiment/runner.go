// Package experiment drives a fleet with a planned workload in an open loop and
// records what its callers saw.
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

// Run is one run of a plan.
type Run struct {
	Entries []string // addresses, used in turn
	Model   string
	Key     func(organisation string) string
	Prompts *workload.Prompts
	Plan    []workload.PlannedRequest
}

// Do sends each request at its planned time, whether or not earlier ones have
// ended, and returns when all have. Latency counts from the planned time.
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
	late := time.Since(due)
	result := client.Send(ctx, call)
	recorder.record(planned, Observation{
		Outcome:     judge(request, result),
		FirstToken:  late + result.FirstToken,
		WholeAnswer: late + result.Total,
	})
}

func judge(request completions.Request, result caller.Result) Outcome {
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
