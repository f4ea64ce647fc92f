package fakeendpoint

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/completions"
)

var (
	errOverLimit = errors.New("the attempt exceeds a limit of the endpoint, which restarts")
	errDuplicate = errors.New("the attempt is running already")
	errLost      = errors.New("the endpoint restarted")
	errCancelled = errors.New("the attempt was cancelled")
)

type attemptState int

const (
	stateRunning attemptState = iota
	stateDone
	stateCancelled
	stateLost // the endpoint restarted without it
)

// attempt is one request in the engine or service. Endpoint.mu guards it.
type attempt struct {
	id         string
	bootID     string
	priority   int
	arrival    uint64
	disconnect <-chan struct{} // closed when its connections must break

	chat              bool
	model             string
	promptTokens      uint64
	memoryTokens      uint64
	prefixBlocks      []uint64
	prefillTokensLeft float64
	prefilled         bool
	text              string
	outputTokens      int

	producedTokens int
	nextTokenAt    time.Time
	state          attemptState
	endedAt        time.Time
	changed        chan struct{} // closed and replaced at the next progress
	endsByHandler  bool          // its HTTP handler ends it, not the engine
}

// token returns the generated token at an index, which counts from 0.
func (a *attempt) token(index int) string {
	return a.text[index*completions.BytesPerToken : (index+1)*completions.BytesPerToken]
}

// notifyProgress wakes the goroutines that wait for tokens or the end of the attempt.
func (a *attempt) notifyProgress() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// awaitTokens returns as soon as more than seen tokens are produced or the attempt has
// ended. For an attempt lost in a restart, it blocks until the connections of that boot
// break or the caller disconnects.
func (e *Endpoint) awaitTokens(ctx context.Context, a *attempt, seen int) (produced int, done bool, err error) {
	for {
		e.mu.Lock()
		produced, state, changed := a.producedTokens, a.state, a.changed
		e.mu.Unlock()
		if state == stateCancelled {
			return produced, true, errCancelled
		}
		if state != stateLost && (produced > seen || state == stateDone) {
			return produced, state == stateDone, nil
		}
		select {
		case <-changed:
		case <-a.disconnect:
			return produced, true, errLost
		case <-ctx.Done():
			return produced, true, ctx.Err()
		}
	}
}
