package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/fakeendpoint"
)

// State returns the counters of the fake endpoint.
func (e *Endpoint) State(ctx context.Context) (fakeendpoint.State, error) {
	var state fakeendpoint.State
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.HTTPAddress+"/debug/state", nil)
	if err != nil {
		return state, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	return state, json.NewDecoder(response.Body).Decode(&state)
}

// Restart makes the fake endpoint start again, cold and without its work. Its connections
// break, or stay open and deliver nothing more.
func (e *Endpoint) Restart(ctx context.Context, breakConnections bool) error {
	return e.debug(ctx, "restart", fmt.Sprintf(`{"break_connections":%v}`, breakConnections))
}

// SetSlowdown makes the fake endpoint slower by a factor.
func (e *Endpoint) SetSlowdown(ctx context.Context, factor float64) error {
	return e.debug(ctx, "slow", fmt.Sprintf(`{"factor":%g}`, factor))
}

// AnnounceTo makes the fake endpoint announce itself to another agent.
func (e *Endpoint) AnnounceTo(ctx context.Context, agent *Agent) error {
	return e.debug(ctx, "agent", fmt.Sprintf(`{"agent":%q}`, "http://"+agent.AnnounceAddress))
}

func (e *Endpoint) debug(ctx context.Context, name, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.HTTPAddress+"/debug/"+name, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %s", e.Name, response.Status)
	}
	return nil
}

// CheckInvariants checks every running fake endpoint: it saw no violation of its limits,
// no idempotency key ran and no attempt arrived there more than once, and within the limit
// no attempt runs and no memory is in use any more.
func (c *Cluster) CheckInvariants(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var errs []error
	for _, endpoint := range c.Endpoints {
		if endpoint.Running() {
			errs = append(errs, endpoint.check(ctx))
		}
	}
	return errors.Join(errs...)
}

func (e *Endpoint) check(ctx context.Context) error {
	var state fakeendpoint.State
	var inUse error // from the last state received
	idle := Poll(ctx, func(ctx context.Context) error {
		next, err := e.State(ctx)
		if err != nil && ctx.Err() != nil && inUse != nil {
			return inUse // ctx ended during the request for the next state
		}
		if err != nil {
			return err
		}
		state, inUse = next, nil
		if state.Running > 0 || state.MemoryTokensUsed > 0 {
			inUse = fmt.Errorf("%s: %d attempts and %d tokens of memory are still in use", e.Name, state.Running, state.MemoryTokensUsed)
		}
		return inUse
	})
	errs := []error{idle}
	for _, v := range state.Violations {
		errs = append(errs, fmt.Errorf("%s: %s violation by attempt %s: %s", e.Name, v.Kind, v.Attempt, v.Detail))
	}
	for key, runs := range state.RunsByKey {
		if runs > 1 {
			errs = append(errs, fmt.Errorf("%s: key %s ran %d times", e.Name, key, runs))
		}
	}
	for attempt, runs := range state.RunsByAttempt {
		if runs > 1 {
			errs = append(errs, fmt.Errorf("%s: attempt %s arrived %d times", e.Name, attempt, runs))
		}
	}
	return errors.Join(errs...)
}

// KeyRuns returns how often the request with an idempotency key ran, summed over all fake
// endpoints.
func (c *Cluster) KeyRuns(ctx context.Context, key string) (int, error) {
	runs := 0
	for _, endpoint := range c.Endpoints {
		state, err := endpoint.State(ctx)
		if err != nil {
			return 0, err
		}
		runs += state.RunsByKey[key]
	}
	return runs, nil
}
