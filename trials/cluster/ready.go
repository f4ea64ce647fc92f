package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	pollInterval = 25 * time.Millisecond
	pollTimeout  = 2 * time.Second // of one request to a process
	logTailBytes = 1500            // of each log, shown after a failed start
)

// AwaitReady waits until every control replica, agent and entry reports on /readyz that
// it is ready. A process that ends in the meantime is an error.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, control := range c.Controls {
		if err := awaitReady(ctx, control.Process, control.HTTPAddress); err != nil {
			return err
		}
	}
	for _, endpoint := range c.Endpoints {
		if err := awaitReady(ctx, endpoint.Agent.Process, endpoint.Agent.HTTPAddress); err != nil {
			return err
		}
	}
	for _, entry := range c.Entries {
		if err := awaitReady(ctx, entry.Process, entry.HTTPAddress); err != nil {
			return err
		}
	}
	return nil
}

func awaitReady(ctx context.Context, p *Process, address string) error {
	err := Poll(ctx, func(ctx context.Context) error {
		if !p.Running() {
			return errExited
		}
		return checkReady(ctx, address)
	})
	if err != nil {
		return fmt.Errorf("%s is not ready: %w", p.Name, err)
	}
	return nil
}

var errExited = errors.New("the process ended")

// Poll calls check repeatedly until it succeeds, until it reports that the process checked
// has ended, or until ctx ends. The error has the last one of check.
func Poll(ctx context.Context, check func(context.Context) error) error {
	for {
		err := check(ctx)
		if err == nil || errors.Is(err, errExited) {
			return err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func checkReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("/readyz answered %s", response.Status)
	}
	return nil
}

// logTails returns the ends of all logs as an error, for a failed start.
func (c *Cluster) logTails() error {
	var errs []error
	for _, p := range c.processes() {
		if p != nil {
			errs = append(errs, fmt.Errorf("--- %s\n%s", p.Name, p.LogTail(logTailBytes)))
		}
	}
	return errors.Join(errs...)
}
