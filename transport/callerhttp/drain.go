package callerhttp

import (
	"context"
	"sync"
)

// Drain counts the running requests, refuses new ones once it has begun, and waits for
// the running ones to end.
type Drain struct {
	mu       sync.Mutex
	draining bool
	running  int
	idle     chan struct{}
}

// NewDrain returns a drain that has not begun.
func NewDrain() *Drain { return &Drain{idle: make(chan struct{})} }

// Add counts a new request. It returns false, and counts nothing, once the drain has
// begun.
func (d *Drain) Add() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.running++
	return true
}

// Done marks a request that Add has counted as ended.
func (d *Drain) Done() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	d.closeIfIdle()
}

// Begin makes Add refuse new requests from now on.
func (d *Drain) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.draining {
		d.draining = true
		d.closeIfIdle()
	}
}

func (d *Drain) closeIfIdle() {
	if d.draining && d.running == 0 {
		close(d.idle)
	}
}

// Draining reports whether new requests are refused.
func (d *Drain) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// Wait returns once the drain has begun and no request runs any more, or when ctx ends.
// It returns the number of requests that still run.
func (d *Drain) Wait(ctx context.Context) int {
	select {
	case <-d.idle:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}
