package fakeendpoint

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/completions"
)

var (
	errFellOver  = errors.New("the endpoint fell over")
	errDoubled   = errors.New("the attempt is running already")
	errLost      = errors.New("the endpoint restarted")
	errCancelled = errors.New("the attempt was cancelled")
)

type attemptState int

const (
	stateRunning attemptState = iota
	stateDone
	stateCancelled
	stateLost // forgotten by a restart
)

// attempt is one request in the engine. The endpoint's lock guards it.
type attempt struct {
	id       string
	bootID   string
	priority int
	arrival  uint64
	broken   <-chan struct{} // closed when its connections are to be cut

	chat         bool
	model        string
	promptTokens uint64
	memory       uint64
	prefix       []uint64
	prefillLeft  float64
	prefilled    bool
	text         string
	outputTokens int

	produced    int
	nextTokenAt time.Time
	state       attemptState
	endedAt     time.Time
	changed     chan struct{} // closed at the next progress
	external    bool          // ends by its handler, not by decoding
}

// token returns the generated token at an index from 0.
func (a *attempt) token(index int) string {
	return a.text[index*completions.BytesPerToken : (index+1)*completions.BytesPerToken]
}

func (a *attempt) progress() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// await returns once more than seen tokens are produced or the attempt ended.
// A lost attempt stays silent until its connection breaks or the caller leaves.
func (e *Endpoint) await(ctx context.Context, a *attempt, seen int) (produced int, done bool, err error) {
	for {
		e.mu.Lock()
		produced, state, changed := a.produced, a.state, a.changed
		e.mu.Unlock()
		if state == stateCancelled {
			return produced, true, errCancelled
		}
		if state != stateLost && (produced > seen || state == stateDone) {
			return produced, state == stateDone, nil
		}
		select {
		case <-changed:
		case <-a.broken:
			return produced, true, errLost
		case <-ctx.Done():
			return produced, true, ctx.Err()
		}
	}
}
