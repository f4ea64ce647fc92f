// Package demo runs a demonstration on loopback: a small fleet of real processes, an
// operator's changes and the requests of two organisations.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
	"github.com/apricotspoke/apricotspoke/trials/cluster"
	"github.com/apricotspoke/apricotspoke/trials/completions"
)

const (
	demoTimeout          = 45 * time.Second
	ampleContractKey     = "kartuli-key"  // of the organisation kartuli, whose limits the demonstration does not reach
	limitedContractKey   = "kitamura-key" // of the organisation kitamura, whose contract allows few requests
	longPromptTokens     = 100_000
	promptBytesPerToken  = 4 // equal to the estimate of package prompt, so that longPromptTokens is the estimated length
	invariantTimeout     = 10 * time.Second
	contractTimeout      = 5 * time.Second
	maxOverLimitRequests = 6 // requests sent at most until one must be refused; the contract allows a burst of two
)

// demo is the state that the steps of the demonstration share.
type demo struct {
	cluster  *cluster.Cluster
	caller   *caller.Client
	table    table
	failures []error
}

// Run runs the demonstration and prints a table of its requests and responses. The error
// lists every check that failed and the folder of the logs, which is kept then.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "apricotspoke-demo-")
	if err != nil {
		return err
	}
	fleet, err := cluster.Start(ctx, options(folder))
	if err != nil {
		return fmt.Errorf("start the fleet (logs in %s): %w", folder, err)
	}
	d := &demo{cluster: fleet, caller: caller.New()}
	d.steps(ctx)
	d.caller.Close()
	d.fail(fleet.CheckInvariants(ctx, invariantTimeout))
	d.recordPeakMemories()
	d.fail(fleet.Stop())
	d.table.print(out)
	if err := errors.Join(d.failures...); err != nil {
		return fmt.Errorf("logs in %s: %w", folder, err)
	}
	return os.RemoveAll(folder)
}

// options describes the fleet of the demonstration. The seed has no effect, as its links
// have no fault proxies.
func options(folder string) cluster.Options {
	o := cluster.Options{
		Folder:      folder,
		Seed:        1,
		Controls:    3,
		Entries:     2,
		DataCentres: []string{"dc1", "dc2", "dc3"},
	}
	for _, dataCentre := range o.DataCentres {
		for i := range 2 {
			o.Endpoints = append(o.Endpoints, cluster.EndpointOptions{
				Name:       fmt.Sprintf("%s-engine%d", dataCentre, i+1),
				DataCentre: dataCentre,
				Flags:      []string{"--model=m1", "--memory-tokens=600000", "--prefill-rate=200000", "--decode-ms=5", "--concurrency=16"},
			})
		}
	}
	o.Endpoints = append(o.Endpoints, cluster.EndpointOptions{
		Name:       "dc3-booking",
		DataCentre: "dc3",
		Flags:      []string{"--service=booking"},
	})
	return o
}

func (d *demo) steps(ctx context.Context) {
	if !d.putContracts(ctx) {
		return
	}
	d.completions(ctx)
	d.bookings(ctx)
	d.exceedLimit(ctx)
	d.dataCentreOutAndIn(ctx)
}

func (d *demo) fail(err error) {
	if err != nil {
		d.failures = append(d.failures, err)
	}
}

func (d *demo) entry(i int) string { return d.cluster.Entries[i%len(d.cluster.Entries)].HTTPAddress }

// putContracts stores an ample contract for kartuli and one with a low request limit for
// kitamura, and waits until kartuli is served at every entry.
func (d *demo) putContracts(ctx context.Context) bool {
	limited := cluster.AmpleContract("kitamura", limitedContractKey)
	limited.Limits.RequestsPerSecond = 0.1
	limited.Limits.RequestBurst = 2
	for _, contract := range []cluster.Contract{cluster.AmpleContract("kartuli", ampleContractKey), limited} {
		if err := d.cluster.PutContract(ctx, contract); err != nil {
			d.fail(err)
			return false
		}
	}
	for i := range d.cluster.Entries {
		if err := d.cluster.AwaitServing(ctx, d.caller, d.entry(i), ampleContractKey, contractTimeout); err != nil {
			d.fail(err)
			return false
		}
	}
	return true
}

func (d *demo) completions(ctx context.Context) {
	d.complete(ctx, "short prompt", completions.Request{Prompt: "Crest for Torpedo Kutaisi", MaxTokens: 32})
	d.complete(ctx, "prompt of 100,000 tokens", completions.Request{Prompt: longPrompt(longPromptTokens), MaxTokens: 32})
	d.complete(ctx, "streamed prompt", completions.Request{Prompt: "Check the feed horn", MaxTokens: 64, Stream: true})
}

func longPrompt(tokens int) string {
	return strings.Repeat("goal", tokens*promptBytesPerToken/len("goal"))
}

// complete asks for a completion and checks the answer byte for byte.
func (d *demo) complete(ctx context.Context, what string, request completions.Request) {
	request.Model = "m1"
	result := d.caller.Send(ctx, caller.Completion(d.entry(0), ampleContractKey, request))
	d.table.add(what, result)
	if want := completions.Text(request.PromptText(), request.OutputTokens()); !result.OK() || result.Text != want {
		d.fail(fmt.Errorf("%s: status %d, complete %v, %d of %d bytes, %s%s", what, result.Status, result.Complete, len(result.Text), len(want), result.Failure, result.Body))
	}
}

// bookings sends one booking twice with one idempotency key, through both entries.
func (d *demo) bookings(ctx context.Context) {
	const key = "visit-17"
	request := caller.Request{
		Method:         http.MethodPost,
		Path:           "/services/booking/book",
		Key:            ampleContractKey,
		IdempotencyKey: key,
		Body:           []byte(`{"reference":"` + key + `"}`),
	}
	var answers []string
	for i := range 2 {
		request.Entry = d.entry(i)
		result := d.caller.Send(ctx, request)
		d.table.add(fmt.Sprintf("booking, send %d with one idempotency key", i+1), result)
		if !result.OK() {
			d.fail(fmt.Errorf("booking %d: status %d %s%s", i+1, result.Status, result.Failure, result.Body))
		}
		answers = append(answers, string(result.Body))
	}
	if answers[0] != answers[1] {
		d.fail(fmt.Errorf("the two sends of a booking got different answers: %q and %q", answers[0], answers[1]))
	}
	if runs, err := d.cluster.KeyRuns(ctx, key); err != nil || runs != 1 {
		d.fail(fmt.Errorf("the booking ran %d times (%v)", runs, err))
	}
}

// exceedLimit sends requests until one is refused by the contract's limit.
func (d *demo) exceedLimit(ctx context.Context) {
	request := completions.Request{Model: "m1", Prompt: "Frost on the mast", MaxTokens: 4}
	for i := range maxOverLimitRequests {
		result := d.caller.Send(ctx, caller.Completion(d.entry(i), limitedContractKey, request))
		if result.OK() {
			continue
		}
		d.table.add("request over the contract's limit", result)
		if result.Status != http.StatusTooManyRequests || !result.NotRun() || result.RetryAfter() == "" {
			d.fail(fmt.Errorf("over the limit: status %d, not run %v, Retry-After %q, %s", result.Status, result.NotRun(), result.RetryAfter(), result.Body))
		}
		return
	}
	d.fail(fmt.Errorf("none of %d requests was refused by a contract with a burst of two", maxOverLimitRequests))
}

func (d *demo) recordPeakMemories() {
	for _, entry := range d.cluster.Entries {
		d.recordPeakMemory(entry.Process)
	}
	for _, endpoint := range d.cluster.Endpoints {
		d.recordPeakMemory(endpoint.Agent.Process)
	}
}

func (d *demo) recordPeakMemory(p *cluster.Process) {
	bytes, err := p.PeakMemoryBytes()
	if err != nil {
		d.fail(fmt.Errorf("peak memory of %s: %w", p.Name, err))
		return
	}
	d.table.recordMemory(p.Name, bytes)
}
