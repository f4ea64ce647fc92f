package routing

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// InFlight counts the attempts that this entry has running at an endpoint, and
// of them those that no report counts yet.
type InFlight struct {
	unseenTokens   [prompt.Classes]atomic.Int64 // by length class
	unseenAttempts atomic.Int64
	running        atomic.Int64
	long           atomic.Int64 // attempts above the length boundary before their first token

	mu       sync.Mutex
	attempts map[string]*ownAttempt
}

type ownAttempt struct {
	tokens  int64
	seen    bool
	waiting bool // before its first token
	long    bool
}

// NewInFlight returns empty counts.
func NewInFlight() *InFlight { return &InFlight{attempts: make(map[string]*ownAttempt)} }

// UnreportedTokens is the prompt length of the attempts that no report counts yet.
func (w *InFlight) UnreportedTokens() uint64 { return w.UnreportedTokensUpTo(prompt.Classes - 1) }

// UnreportedTokensUpTo is the same for prompts up to a length class.
func (w *InFlight) UnreportedTokensUpTo(class int) uint64 {
	var sum int64
	for i := range class + 1 {
		sum += w.unseenTokens[i].Load()
	}
	return uint64(max(0, sum))
}

func (w *InFlight) addUnseen(tokens int64, sign int64) {
	w.unseenTokens[prompt.Class(uint64(tokens))].Add(sign * tokens)
}

// UnreportedAttempts is the number of attempts that no report counts yet.
func (w *InFlight) UnreportedAttempts() uint64 { return uint64(max(0, w.unseenAttempts.Load())) }

// Running is the number of this entry's attempts at the endpoint.
func (w *InFlight) Running() int64 { return w.running.Load() }

// LongPrefills is the number of this entry's long prompts before their first token.
func (w *InFlight) LongPrefills() int64 { return w.long.Load() }

// Start counts an attempt from now on.
func (w *InFlight) Start(attempt string, tokens uint64, long bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts[attempt] != nil {
		return
	}
	w.attempts[attempt] = &ownAttempt{tokens: int64(tokens), waiting: true, long: long}
	w.running.Add(1)
	w.addUnseen(int64(tokens), 1)
	w.unseenAttempts.Add(1)
	if long {
		w.long.Add(1)
	}
}

// FirstToken records that an attempt's prefill is over.
func (w *InFlight) FirstToken(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.attempts[attempt]; a != nil {
		w.prefilled(a)
	}
}

// End stops counting an attempt.
func (w *InFlight) End(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.attempts[attempt]
	if a == nil {
		return
	}
	w.prefilled(a)
	w.see(a)
	w.running.Add(-1)
	delete(w.attempts, attempt)
}

// MarkReported takes the attempts that a report counts.
func (w *InFlight) MarkReported(attempts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, attempt := range attempts {
		if a := w.attempts[attempt]; a != nil {
			w.see(a)
		}
	}
}

func (w *InFlight) prefilled(a *ownAttempt) {
	if !a.waiting {
		return
	}
	a.waiting = false
	if a.long {
		w.long.Add(-1)
	}
	if !a.seen {
		w.addUnseen(a.tokens, -1)
	}
}

func (w *InFlight) see(a *ownAttempt) {
	if a.seen {
		return
	}
	a.seen = true
	w.unseenAttempts.Add(-1)
	if a.waiting {
		w.addUnseen(a.tokens, -1)
	}
}

// Attempts lists the attempts counted, in order.
func (w *InFlight) Attempts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name := range w.attempts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
