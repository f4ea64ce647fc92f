package fakeendpoint

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Violation is a violation of the endpoint's limits by whoever sent it work.
type Violation struct {
	Kind    string `json:"kind"`
	Detail  string `json:"detail"`
	Attempt string `json:"attempt"`
	BootID  string `json:"boot_id"`
}

// The kinds of breaches.
const (
	ViolationConcurrency = "concurrency"
	ViolationMemory      = "memory"
	ViolationDuplicate   = "attempt_doubled"
)

// Endpoint is one stand-in. Counters in it outlast its restarts.
type Endpoint struct {
	config Config
	wake   chan struct{} // work arrived
	reboot chan struct{} // announce again at once

	mu           sync.Mutex
	bootID       string
	bootBroken   chan struct{} // closed when connections of this boot are cut
	attempts     map[string]*attempt
	recent       map[string]*attempt // ended, still resumable
	blocks       map[string]kvBlock  // kept until they are deleted
	arrivals     uint64
	finished     int // since the boot
	memoryUsed   uint64
	slowdown     float64
	prefillSpare float64 // tokens of compute earned and not yet spent
	cache        *prefixCache
	events       *eventLog
	loads        []loadReport
	models       []string
	role         string

	breaches     []Violation
	runs         map[string]int
	keys         map[string]int
	orders       []orderRecord
	highestOrder uint64
	served       int
	bookings     int
	weights      sync.Mutex
}

// New returns a stand-in in cold start.
func New(config Config) *Endpoint {
	e := &Endpoint{
		config:   config,
		wake:     make(chan struct{}, 1),
		reboot:   make(chan struct{}, 1),
		slowdown: 1,
		models:   slices.Clone(config.Models),
		role:     "both",
		runs:     make(map[string]int),
		keys:     make(map[string]int),
		events:   newEventLog(config.Seed),
	}
	e.boot()
	return e
}

// Run computes and samples the load until ctx ends.
func (e *Endpoint) Run(ctx context.Context) {
	go e.sampleLoad(ctx)
	e.compute(ctx)
}

func (e *Endpoint) boot() {
	e.bootID = rand.Text()
	e.bootBroken = make(chan struct{})
	e.attempts = make(map[string]*attempt)
	e.recent = make(map[string]*attempt)
	e.blocks = make(map[string]kvBlock)
	e.finished = 0
	e.memoryUsed = 0
	e.prefillSpare = 0
	e.cache = newPrefixCache(uint64(cacheShare*float64(e.config.MemoryTokens)), e.events)
	e.events.add(eventCleared, nil)
}

// Restart turns the endpoint cold and forgets all work. Its connections break,
// or stay open without another byte.
func (e *Endpoint) Restart(breakConnections bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart(breakConnections)
}

func (e *Endpoint) restart(breakConnections bool) {
	if breakConnections {
		close(e.bootBroken)
	}
	for _, a := range e.attempts {
		a.state = stateLost
	}
	e.boot()
	notify(e.reboot)
}

// admissible is the number of attempts that the endpoint can carry at once.
func (e *Endpoint) admissible() int {
	return min(e.config.Concurrency, e.config.ColdConcurrency+e.finished)
}

// admit takes an attempt in. An attempt above a limit is a breach, and the
// endpoint falls over.
func (e *Endpoint) admit(a *attempt) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[a.id]++
	if _, known := e.attempts[a.id]; known {
		e.breach(ViolationDuplicate, a.id, "the attempt is running already")
		return errDoubled
	}
	if len(e.attempts) >= e.admissible() {
		e.breach(ViolationConcurrency, a.id, fmt.Sprintf("%d attempts, %d admissible", len(e.attempts)+1, e.admissible()))
		e.restart(true)
		return errFellOver
	}
	if e.config.Service == "" && e.memoryUsed+a.memory > e.config.MemoryTokens {
		e.breach(ViolationMemory, a.id, fmt.Sprintf("%d tokens in use, %d more wanted, %d in all", e.memoryUsed, a.memory, e.config.MemoryTokens))
		e.restart(true)
		return errFellOver
	}
	e.arrivals++
	a.arrival = e.arrivals
	a.bootID = e.bootID
	a.broken = e.bootBroken
	e.attempts[a.id] = a
	e.memoryUsed += a.memory
	a.prefillLeft -= min(a.prefillLeft, e.cache.use(a.prefix))
	notify(e.wake)
	return nil
}

func (e *Endpoint) breach(kind, attempt, detail string) {
	e.breaches = append(e.breaches, Violation{Kind: kind, Detail: detail, Attempt: attempt, BootID: e.bootID})
}

// end takes an attempt out and frees its memory. Callers hold the lock.
func (e *Endpoint) end(a *attempt, state attemptState) {
	if e.attempts[a.id] != a {
		return
	}
	delete(e.attempts, a.id)
	e.memoryUsed -= a.memory
	a.state = state
	a.endedAt = time.Now()
	if state == stateDone {
		e.finished++
		e.served++
		e.recent[a.id] = a
	}
	a.progress()
}

// cancel ends an attempt without an answer.
func (e *Endpoint) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.attempts[id]; a != nil {
		e.end(a, stateCancelled)
	}
}

// find returns a running or recently ended attempt of this boot, or nil.
func (e *Endpoint) find(id string) *attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.attempts[id]; a != nil {
		return a
	}
	return e.recent[id]
}

func (e *Endpoint) currentBoot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// byPriority returns the running attempts, highest priority first, then by arrival.
func (e *Endpoint) byPriority() []*attempt {
	list := make([]*attempt, 0, len(e.attempts))
	for _, a := range e.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
	})
	return list
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
