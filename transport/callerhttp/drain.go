package callerhttp

import (
	"context"
	"sync"
)

// Drain counts the running requests and, once begun, takes no new ones.
type Drain struct {
	mu      sync.Mutex
	begun   bool
	running int
	idle    chan struct{}
}

// NewDrain returns a drain that has not begun.
func NewDrain() *Drain { return &Drain{idle: make(chan struct{})} }

// Add counts a request, or reports that no new one is taken.
func (d *Drain) Add() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun {
		return false
	}
	d.running++
	return true
}

// Done ends a request.
func (d *Drain) Done() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	d.signal()
}

// Begin refuses new requests from now on.
func (d *Drain) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.begun {
		d.begun = true
		d.signal()
	}
}

func (d *Drain) signal() {
	if d.begun && d.running == 0 {
		close(d.idle)
	}
}

// Draining reports whether new requests are refused.
func (d *Drain) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begun
}

// Wait returns when no request runs any more, or when ctx ends. It reports how
// many still run.
func (d *Drain) Wait(ctx context.Context) int {
	select {
	case <-d.idle:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}
