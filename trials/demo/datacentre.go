package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
	"github.com/apricotspoke/apricotspoke/trials/completions"
)

const (
	outDataCentre  = "dc1"           // taken out of service and back
	backgroundJobs = 6               // streams at a time
	drainTime      = 3 * time.Second // after it, a data centre out of service gets no new attempts
	observeTime    = 2 * time.Second // in which no new attempt may arrive
	workTimeout    = 10 * time.Second
)

// dataCentreOutAndIn takes a data centre out of service and back while requests run.
func (d *demo) dataCentreOutAndIn(ctx context.Context) {
	load := startBackground(ctx, d)
	d.fail(d.checkOutOfService(ctx))
	d.fail(d.checkReturnToService(ctx))
	load.stop()
	d.table.addNote(fmt.Sprintf("streams while %s was out of service and back", outDataCentre), fmt.Sprintf("%d correct, %d wrong or failed", load.correct, load.wrongOrFailed))
	if load.wrongOrFailed > 0 {
		d.fail(fmt.Errorf("%d streams were wrong or failed while %s was out of service and back; the first: %s", load.wrongOrFailed, outDataCentre, load.firstFailure))
	}
}

// checkOutOfService takes the data centre out of service once it has work. After drainTime
// it checks that no new attempt arrives within observeTime.
func (d *demo) checkOutOfService(ctx context.Context) error {
	if err := d.cluster.AwaitWork(ctx, outDataCentre, workTimeout); err != nil {
		return err
	}
	if err := d.cluster.TakeOutOfService(ctx, outDataCentre); err != nil {
		return err
	}
	sleep(ctx, drainTime)
	before, err := d.cluster.Arrivals(ctx, outDataCentre)
	if err != nil {
		return err
	}
	sleep(ctx, observeTime)
	after, err := d.cluster.Arrivals(ctx, outDataCentre)
	if err != nil {
		return err
	}
	d.table.addNote(outDataCentre+" out of service", fmt.Sprintf("%d new attempts after %s", after-before, drainTime))
	if after != before {
		return fmt.Errorf("%s got %d new attempts later than %s after it was taken out of service", outDataCentre, after-before, drainTime)
	}
	return nil
}

// checkReturnToService takes the data centre back into service and checks that it gets work
// within workTimeout.
func (d *demo) checkReturnToService(ctx context.Context) error {
	started := time.Now()
	if err := d.cluster.ReturnToService(ctx, outDataCentre); err != nil {
		return err
	}
	if err := d.cluster.AwaitWork(ctx, outDataCentre, workTimeout); err != nil {
		return err
	}
	d.table.addNote(outDataCentre+" back in service", fmt.Sprintf("new attempts after %d ms", time.Since(started).Milliseconds()))
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// background sends streams until stopped. Each job sends one after the other.
type background struct {
	stopped chan struct{}
	jobs    sync.WaitGroup

	mu            sync.Mutex
	correct       int
	wrongOrFailed int
	firstFailure  string
}

func startBackground(ctx context.Context, d *demo) *background {
	b := &background{stopped: make(chan struct{})}
	for job := range backgroundJobs {
		b.jobs.Go(func() { b.run(ctx, d, job) })
	}
	return b
}

func (b *background) run(ctx context.Context, d *demo, job int) {
	for i := 0; ; i++ {
		select {
		case <-b.stopped:
			return
		case <-ctx.Done():
			return
		default:
		}
		request := completions.Request{Model: "m1", Prompt: fmt.Sprintf("Season %d of club %d", i, job), MaxTokens: 60, Stream: true}
		result := d.caller.Send(ctx, caller.Completion(d.entry(job), ampleContractKey, request))
		b.record(request, result)
	}
}

func (b *background) record(request completions.Request, result caller.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if result.OK() && result.Text == completions.Text(request.Prompt, request.MaxTokens) {
		b.correct++
		return
	}
	b.wrongOrFailed++
	if b.firstFailure == "" {
		b.firstFailure = fmt.Sprintf("status %d, %s%s", result.Status, result.Failure, result.Body)
	}
}

func (b *background) stop() {
	close(b.stopped)
	b.jobs.Wait()
}
