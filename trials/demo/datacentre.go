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
	takenOut      = "dc1"
	backgroundJob = 6
	leaveTime     = 3 * time.Second // until a data centre that is out gets no new work
	watchTime     = 2 * time.Second
	returnLimit   = 10 * time.Second
)

// dataCentreOutAndIn takes a data centre out and in while requests run.
func (d *demo) dataCentreOutAndIn(ctx context.Context) {
	load := startBackground(ctx, d)
	d.fail(d.takeOut(ctx))
	d.fail(d.takeIn(ctx))
	load.stop()
	d.table.note(fmt.Sprintf("streams while %s was out and in", takenOut), fmt.Sprintf("%d whole, %d not", load.whole, load.broken))
	if load.broken > 0 {
		d.fail(fmt.Errorf("%d streams were not whole while %s was out and in; the first: %s", load.broken, takenOut, load.firstFailure))
	}
}

func (d *demo) takeOut(ctx context.Context) error {
	if err := d.cluster.AwaitWork(ctx, takenOut, returnLimit); err != nil {
		return err
	}
	if err := d.cluster.TakeOutOfService(ctx, takenOut); err != nil {
		return err
	}
	sleep(ctx, leaveTime)
	before, err := d.cluster.Arrivals(ctx, takenOut)
	if err != nil {
		return err
	}
	sleep(ctx, watchTime)
	after, err := d.cluster.Arrivals(ctx, takenOut)
	if err != nil {
		return err
	}
	d.table.note(takenOut+" taken out", fmt.Sprintf("%d new attempts from %s on", after-before, leaveTime))
	if after != before {
		return fmt.Errorf("%s got %d attempts although it was out for %s", takenOut, after-before, leaveTime)
	}
	return nil
}

func (d *demo) takeIn(ctx context.Context) error {
	started := time.Now()
	if err := d.cluster.ReturnToService(ctx, takenOut); err != nil {
		return err
	}
	if err := d.cluster.AwaitWork(ctx, takenOut, returnLimit); err != nil {
		return err
	}
	d.table.note(takenOut+" taken in", fmt.Sprintf("work again after %d ms", time.Since(started).Milliseconds()))
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// background sends streams, one after the other in each job, until stopped.
type background struct {
	end  chan struct{}
	jobs sync.WaitGroup

	mu           sync.Mutex
	whole        int
	broken       int
	firstFailure string
}

func startBackground(ctx context.Context, d *demo) *background {
	b := &background{end: make(chan struct{})}
	for job := range backgroundJob {
		b.jobs.Go(func() { b.run(ctx, d, job) })
	}
	return b
}

func (b *background) run(ctx context.Context, d *demo, job int) {
	for i := 0; ; i++ {
		select {
		case <-b.end:
			return
		case <-ctx.Done():
			return
		default:
		}
		request := completions.Request{Model: "m1", Prompt: fmt.Sprintf("Season %d of club %d", i, job), MaxTokens: 60, Stream: true}
		result := d.caller.Send(ctx, caller.Completion(d.entry(job), kartuliKey, request))
		b.count(request, result)
	}
}

func (b *background) count(request completions.Request, result caller.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if result.OK() && result.Text == completions.Text(request.Prompt, request.MaxTokens) {
		b.whole++
		return
	}
	b.broken++
	if b.firstFailure == "" {
		b.firstFailure = fmt.Sprintf("status %d, %s%s", result.Status, result.Failure, result.Body)
	}
}

func (b *background) stop() {
	close(b.end)
	b.jobs.Wait()
}
