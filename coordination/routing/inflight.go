package routing

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// InFlight counts this entry's attempts in flight at an endpoint, and those of
// them that no report of the gate counts yet.
type InFlight struct {
	unreportedTokens   [prompt.LengthClasses]atomic.Int64 // by length class; only attempts before their first token
	unreportedAttempts atomic.Int64
	running            atomic.Int64
	longPrefills       atomic.Int64 // attempts with a long prompt before their first token

	mu       sync.Mutex
	attempts map[string]*inFlightAttempt
}

type inFlightAttempt struct {
	tokens     int64
	reported   bool
	prefilling bool // before its first token
	long       bool
}

// NewInFlight returns an InFlight without attempts.
func NewInFlight() *InFlight { return &InFlight{attempts: make(map[string]*inFlightAttempt)} }

// UnreportedTokens returns the prompt tokens to prefill of the attempts that no
// report counts yet.
func (f *InFlight) UnreportedTokens() uint64 { return f.UnreportedTokensUpTo(prompt.LengthClasses - 1) }

// UnreportedTokensUpTo does the same for prompts of up to a length class.
func (f *InFlight) UnreportedTokensUpTo(class int) uint64 {
	var sum int64
	for i := range class + 1 {
		sum += f.unreportedTokens[i].Load()
	}
	return uint64(max(0, sum))
}

func (f *InFlight) addUnreported(tokens int64, sign int64) {
	f.unreportedTokens[prompt.LengthClass(uint64(tokens))].Add(sign * tokens)
}

// UnreportedAttempts returns the number of attempts that no report counts yet.
func (f *InFlight) UnreportedAttempts() uint64 { return uint64(max(0, f.unreportedAttempts.Load())) }

// Running returns the number of this entry's attempts that have started and not
// ended, including those that wait at the gate.
func (f *InFlight) Running() int64 { return f.running.Load() }

// LongPrefills returns the number of this entry's long prompts before their
// first token.
func (f *InFlight) LongPrefills() int64 { return f.longPrefills.Load() }

// Start counts an attempt. A second call for the same attempt has no effect.
func (f *InFlight) Start(attempt string, tokens uint64, long bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attempts[attempt] != nil {
		return
	}
	f.attempts[attempt] = &inFlightAttempt{tokens: int64(tokens), prefilling: true, long: long}
	f.running.Add(1)
	f.addUnreported(int64(tokens), 1)
	f.unreportedAttempts.Add(1)
	if long {
		f.longPrefills.Add(1)
	}
}

// FirstToken records that an attempt's prefill has ended.
func (f *InFlight) FirstToken(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.attempts[attempt]; a != nil {
		f.endPrefill(a)
	}
}

// End stops counting an attempt.
func (f *InFlight) End(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.attempts[attempt]
	if a == nil {
		return
	}
	f.endPrefill(a)
	f.setReported(a)
	f.running.Add(-1)
	delete(f.attempts, attempt)
}

// MarkReported records the attempts that a report counts.
func (f *InFlight) MarkReported(attempts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, attempt := range attempts {
		if a := f.attempts[attempt]; a != nil {
			f.setReported(a)
		}
	}
}

func (f *InFlight) endPrefill(a *inFlightAttempt) {
	if !a.prefilling {
		return
	}
	a.prefilling = false
	if a.long {
		f.longPrefills.Add(-1)
	}
	if !a.reported {
		f.addUnreported(a.tokens, -1)
	}
}

func (f *InFlight) setReported(a *inFlightAttempt) {
	if a.reported {
		return
	}
	a.reported = true
	f.unreportedAttempts.Add(-1)
	if a.prefilling {
		f.addUnreported(a.tokens, -1)
	}
}

// Attempts returns the identifiers of the attempts in flight, sorted.
func (f *InFlight) Attempts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id := range f.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
