// Package quota divides each contract among entries. A ledger belongs to one
// leadership; it keeps no log. What entries hold unspent and what the bucket
// holds never exceed the contract's burst together, so the entries' spending in
// any window never exceeds rate × window + burst, whichever of them dies.
package quota

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// LeaseTTL is how long an entry may spend what it holds after the send time of its
// last lease request that was answered.
const LeaseTTL = 2 * time.Second

const (
	demandMemory = time.Second      // for which an unmet demand of an entry counts
	maxRetry     = 60 * time.Second // longest wait that a grant advises
	sequenceLife = time.Minute      // longer than any lease request can be under way
)

// Ledger holds the account of every contract. It is not safe for concurrent use.
type Ledger struct {
	since     time.Time
	accounts  map[string]*account
	sequences map[string]sequence // by entry
	prunedAt  time.Time
}

// sequence is that of an entry's last lease request.
type sequence struct {
	number uint64
	at     time.Time
}

// NewLedger returns the ledger of a leadership that began at since. Its buckets
// are empty and fill only after Life has passed, because earlier leaders may
// have granted what entries hold until then.
func NewLedger(since time.Time) *Ledger {
	return &Ledger{since: since, accounts: make(map[string]*account), sequences: make(map[string]sequence)}
}

// account is the state of one contract.
type account struct {
	requests *bucket
	tokens   *bucket
	slots    *slots
}

// AcceptSequence reports whether a lease request is newer than all others of its entry.
// An entry takes a new name whenever it starts, since its sequence starts again.
func (l *Ledger) AcceptSequence(now time.Time, request *wire.LeaseRequest) bool {
	l.pruneSequences(now)
	if request.Sequence <= l.sequences[request.Entry].number {
		return false
	}
	l.sequences[request.Entry] = sequence{request.Sequence, now}
	return true
}

// pruneSequences forgets the entries that ended.
func (l *Ledger) pruneSequences(now time.Time) {
	if now.Sub(l.prunedAt) < sequenceLife {
		return
	}
	l.prunedAt = now
	for entry, s := range l.sequences {
		if now.Sub(s.at) > sequenceLife {
			delete(l.sequences, entry)
		}
	}
}

// AddContract makes the account of a contract known. The bucket of a contract that is
// made during this leadership starts full.
func (l *Ledger) AddContract(now time.Time, contract *wire.Contract, isNew bool) {
	if _, ok := l.accounts[contract.Organisation]; ok {
		return
	}
	start := l.since.Add(LeaseTTL)
	if isNew && now.After(start) {
		start = now
	}
	a := &account{requests: newBucket(start), tokens: newBucket(start), slots: &slots{}}
	if isNew {
		a.requests.level = contract.RequestBurst
		a.tokens.level = contract.TokenBurst
	}
	l.accounts[contract.Organisation] = a
}

// Lease answers one demand. A nil contract grants nothing.
func (l *Ledger) Lease(now time.Time, entry string, demand *wire.QuotaDemand, contract *wire.Contract) *wire.QuotaGrant {
	grant := &wire.QuotaGrant{Organisation: demand.Organisation}
	if contract == nil {
		if l.accounts[demand.Organisation] == nil {
			return grant
		}
		contract = &wire.Contract{Organisation: demand.Organisation}
	}
	l.AddContract(now, contract, false)
	a := l.accounts[demand.Organisation]
	young := now.Sub(l.since) <= LeaseTTL
	var wait, tokenWait time.Duration
	grant.Requests, wait = a.requests.lease(now, ask{
		entry: entry, wanted: demand.Requests, held: demand.HeldRequests, returned: demand.ReturnedRequests, young: young,
	}, limit{contract.RequestsPerSecond, contract.RequestBurst})
	grant.Tokens, tokenWait = a.tokens.lease(now, ask{
		entry: entry, wanted: demand.Tokens, held: demand.HeldTokens, returned: demand.ReturnedTokens, young: young,
	}, limit{contract.TokensPerSecond, contract.TokenBurst})
	grant.Concurrency = a.slots.lease(now, entry, demand, contract.Concurrency, young)
	if grant.Concurrency < demand.ConcurrencyWanted {
		wait = max(wait, slotRetry)
	}
	if wait = max(wait, tokenWait); young && wait > 0 {
		wait = max(wait, LeaseTTL-now.Sub(l.since))
	}
	grant.RetryAfterMs = uint32((min(wait, maxRetry) + time.Millisecond - 1) / time.Millisecond)
	return grant
}
