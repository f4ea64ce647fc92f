package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
	"github.com/apricotspoke/apricotspoke/trials/completions"
)

// Arrivals returns the number of attempts that the fake endpoints of a data centre have
// admitted, by their own counters.
func (c *Cluster) Arrivals(ctx context.Context, dataCentre string) (uint64, error) {
	var arrivals uint64
	for _, endpoint := range c.Endpoints {
		if endpoint.DataCentre != dataCentre {
			continue
		}
		state, err := endpoint.State(ctx)
		if err != nil {
			return 0, err
		}
		arrivals += state.Arrivals
	}
	return arrivals, nil
}

// AwaitWork waits until an endpoint of a data centre admits a new attempt.
func (c *Cluster) AwaitWork(ctx context.Context, dataCentre string, limit time.Duration) error {
	before, err := c.Arrivals(ctx, dataCentre)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return Poll(ctx, func(ctx context.Context) error {
		now, err := c.Arrivals(ctx, dataCentre)
		if err == nil && now == before {
			err = fmt.Errorf("%s gets no new attempts", dataCentre)
		}
		return err
	})
}

// AwaitServing waits until an entry serves a short completion with a key: then the
// key's contract is in force there and the entry knows an endpoint.
func (c *Cluster) AwaitServing(ctx context.Context, client *caller.Client, entry, key string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := caller.Completion(entry, key, completions.Request{Model: "m1", Prompt: "ready", MaxTokens: 1})
	return Poll(ctx, func(ctx context.Context) error {
		result := client.Send(ctx, request)
		if !result.OK() {
			return fmt.Errorf("entry %s answered %d %s%s", entry, result.Status, result.Failure, result.Body)
		}
		return nil
	})
}
