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

// Violation records that a sender exceeded a limit of the endpoint, or sent a running
// attempt again.
type Violation struct {
	Kind    string `json:"kind"`
	Detail  string `json:"detail"`
	Attempt string `json:"attempt"`
	BootID  string `json:"boot_id"`
}

// The kinds of violations.
const (
	ViolationConcurrency = "concurrency"
	ViolationMemory      = "memory"
	ViolationDuplicate   = "attempt_doubled"
)

// Endpoint is a fake endpoint. Its counters survive its restarts.
type Endpoint struct {
	config     Config
	wake       chan struct{} // an attempt was admitted
	reannounce chan struct{} // makes Announce send at once

	mu                sync.Mutex
	bootID            string
	disconnect        chan struct{} // closed when the connections of this boot must break
	attempts          map[string]*attempt
	ended             map[string]*attempt // finished, their streams can still be resumed
	kvBlocks          map[string]kvBlock  // by name, until they are deleted
	arrivals          uint64
	finishedSinceBoot int // raises the cold concurrency limit
	memoryUsedTokens  uint64
	slowdown          float64
	prefillBudget     float64 // tokens that can be prefilled now
	cache             *prefixCache
	events            *eventLog
	loadReports       []loadReport
	models            []string
	role              string

	violations         []Violation
	runsByAttempt      map[string]int
	runsByKey          map[string]int
	orders             []orderRecord
	highestOrderNumber uint64
	served             int
	bookings           int
	weightStore        sync.Mutex // serves one load at a time
}

// New returns a fake endpoint that has just booted, cold.
func New(config Config) *Endpoint {
	e := &Endpoint{
		config:        config,
		wake:          make(chan struct{}, 1),
		reannounce:    make(chan struct{}, 1),
		slowdown:      1,
		models:        slices.Clone(config.Models),
		role:          "both",
		runsByAttempt: make(map[string]int),
		runsByKey:     make(map[string]int),
		events:        newEventLog(config.Seed),
	}
	e.boot()
	return e
}

// Run runs the engine and samples the load until ctx ends.
func (e *Endpoint) Run(ctx context.Context) {
	go e.sampleLoad(ctx)
	e.runEngine(ctx)
}

func (e *Endpoint) boot() {
	e.bootID = rand.Text()
	e.disconnect = make(chan struct{})
	e.attempts = make(map[string]*attempt)
	e.ended = make(map[string]*attempt)
	e.kvBlocks = make(map[string]kvBlock)
	e.finishedSinceBoot = 0
	e.memoryUsedTokens = 0
	e.prefillBudget = 0
	e.cache = newPrefixCache(uint64(prefixCacheShare*float64(e.config.MemoryTokens)), e.events)
	e.events.add(eventCleared, nil)
}

// Restart boots the endpoint again, cold and without its work. The connections of its
// attempts break, or stay open and deliver nothing more.
func (e *Endpoint) Restart(breakConnections bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart(breakConnections)
}

func (e *Endpoint) restart(breakConnections bool) {
	if breakConnections {
		close(e.disconnect)
	}
	for _, a := range e.attempts {
		a.state = stateLost
	}
	e.boot()
	notify(e.reannounce)
}

// admissible returns the number of attempts that the endpoint may run at once: the cold
// limit after a boot, raised by each finished attempt up to the full limit.
func (e *Endpoint) admissible() int {
	return min(e.config.Concurrency, e.config.ColdConcurrency+e.finishedSinceBoot)
}

// admit starts an attempt. An attempt above a limit is recorded as a violation and makes
// the endpoint restart, as an overloaded engine would crash.
func (e *Endpoint) admit(a *attempt) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runsByAttempt[a.id]++
	if _, known := e.attempts[a.id]; known {
		e.addViolation(ViolationDuplicate, a.id, "the attempt is running already")
		return errDuplicate
	}
	if len(e.attempts) >= e.admissible() {
		e.addViolation(ViolationConcurrency, a.id, fmt.Sprintf("%d attempts, %d admissible", len(e.attempts)+1, e.admissible()))
		e.restart(true)
		return errOverLimit
	}
	if e.config.Service == "" && e.memoryUsedTokens+a.memoryTokens > e.config.MemoryTokens {
		e.addViolation(ViolationMemory, a.id, fmt.Sprintf("%d tokens in use, %d more wanted, %d in all", e.memoryUsedTokens, a.memoryTokens, e.config.MemoryTokens))
		e.restart(true)
		return errOverLimit
	}
	e.arrivals++
	a.arrival = e.arrivals
	a.bootID = e.bootID
	a.disconnect = e.disconnect
	e.attempts[a.id] = a
	e.memoryUsedTokens += a.memoryTokens
	a.prefillTokensLeft -= min(a.prefillTokensLeft, e.cache.lookup(a.prefixBlocks))
	notify(e.wake)
	return nil
}

func (e *Endpoint) addViolation(kind, attempt, detail string) {
	e.violations = append(e.violations, Violation{Kind: kind, Detail: detail, Attempt: attempt, BootID: e.bootID})
}

// end removes an attempt and frees its memory. The caller holds e.mu.
func (e *Endpoint) end(a *attempt, state attemptState) {
	if e.attempts[a.id] != a {
		return
	}
	delete(e.attempts, a.id)
	e.memoryUsedTokens -= a.memoryTokens
	a.state = state
	a.endedAt = time.Now()
	if state == stateDone {
		e.finishedSinceBoot++
		e.served++
		e.ended[a.id] = a
	}
	a.notifyProgress()
}

// cancel ends a running attempt before its answer is complete.
func (e *Endpoint) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.attempts[id]; a != nil {
		e.end(a, stateCancelled)
	}
}

// find returns a running or recently finished attempt of this boot, or nil.
func (e *Endpoint) find(id string) *attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.attempts[id]; a != nil {
		return a
	}
	return e.ended[id]
}

func (e *Endpoint) currentBoot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// byPriority returns the running attempts, highest priority first, then by arrival. The
// caller holds e.mu.
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

// notify signals a channel with a buffer of one and never blocks.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
