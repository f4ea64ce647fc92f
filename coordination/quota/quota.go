// Package quota divides the quota of each organisation's contract among the
// entries, by short leases from central token buckets. A Ledger lives in memory for
// the term of one leader and is not replicated. The unspent holdings of the entries
// and the bucket's level together never exceed the contract's burst. So the entries
// together never spend more than rate × window + burst in any window, also when
// some of them fail.
package quota

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// LeaseTTL is how long an entry may spend its holdings at most. The entry counts from
// when it sent the last lease request that was answered, and only for the ValidMs of
// the grant, which the leader shortens by the time since its leadership was confirmed.
// The ledger counts from the later arrival of the request, so it frees no holding that
// an entry may still spend. With a larger LeaseTTL the holdings of a failed entry are
// missing for longer, and a new leader waits for longer before it grants; with a
// smaller one an entry survives fewer lease requests without a response.
const LeaseTTL = 2 * time.Second

const (
	// demandTTL is how long an unmet demand reserves a part of the refill for its
	// entry. Each lease request replaces the entry's demand, so demandTTL matters only
	// for an entry that has stopped asking. It must exceed the interval between the lease
	// requests of an entry, which would lose its reserved part otherwise.
	demandTTL = time.Second
	// maxRetryAfter is the longest Retry-After in a grant.
	maxRetryAfter = 60 * time.Second
	// sequenceTTL is how long the last sequence number of an entry is kept. It is
	// longer than any lease request can be in transit.
	sequenceTTL = time.Minute
)

// Ledger records what the entries hold of every contract. It is not safe for
// concurrent use.
type Ledger struct {
	since     time.Time // start of the leader's term
	accounts  map[string]*account
	sequences map[string]sequence // by name of the entry
	prunedAt  time.Time
}

// sequence is the sequence number of an entry's last lease request and when it
// arrived.
type sequence struct {
	number uint64
	at     time.Time
}

// NewLedger returns the ledger of a leader whose term began at since. Its buckets
// stay empty until LeaseTTL has passed, because until then the entries may hold
// leases from earlier leaders. The buckets of a contract that was created in this term
// are excepted; see AddContract.
func NewLedger(since time.Time) *Ledger {
	return &Ledger{since: since, accounts: make(map[string]*account), sequences: make(map[string]sequence)}
}

// account is the state of one contract.
type account struct {
	requests *bucket
	tokens   *bucket
	slots    *slots
}

// AcceptSequence reports whether a lease request is newer than all earlier ones of
// its entry, and records its sequence number. Sequence numbers restart with the
// entry, so an entry takes a new name at each start.
func (l *Ledger) AcceptSequence(now time.Time, request *wire.LeaseRequest) bool {
	l.pruneSequences(now)
	if request.Sequence <= l.sequences[request.Entry].number {
		return false
	}
	l.sequences[request.Entry] = sequence{request.Sequence, now}
	return true
}

// pruneSequences drops the entries that have sent nothing for sequenceTTL.
func (l *Ledger) pruneSequences(now time.Time) {
	if now.Sub(l.prunedAt) < sequenceTTL {
		return
	}
	l.prunedAt = now
	for entry, s := range l.sequences {
		if now.Sub(s.at) > sequenceTTL {
			delete(l.sequences, entry)
		}
	}
}

// AddContract creates the account of a contract unless there is one. The buckets of
// a contract that was created in this leader's term (isNew) start full, also before
// LeaseTTL has passed, as no earlier leader is expected to have granted a part of it.
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

// Lease renews the lease of an entry on one contract and grants what its demand can
// get now, with a Retry-After for the rest. A nil contract, one that was deleted or
// never existed, grants nothing more. If it has an account, its rates, bursts and
// concurrency are zero from then on; the entry keeps the slots that it reports as held.
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
	inGracePeriod := now.Sub(l.since) <= LeaseTTL
	var wait, tokenWait time.Duration
	grant.Requests, wait = a.requests.lease(now, bucketDemand{
		entry: entry, wanted: demand.Requests, held: demand.HeldRequests, returned: demand.ReturnedRequests, inGracePeriod: inGracePeriod,
	}, rateLimit{contract.RequestsPerSecond, contract.RequestBurst})
	grant.Tokens, tokenWait = a.tokens.lease(now, bucketDemand{
		entry: entry, wanted: demand.Tokens, held: demand.HeldTokens, returned: demand.ReturnedTokens, inGracePeriod: inGracePeriod,
	}, rateLimit{contract.TokensPerSecond, contract.TokenBurst})
	grant.Concurrency = a.slots.lease(now, entry, demand, contract.Concurrency, inGracePeriod)
	if grant.Concurrency < demand.ConcurrencyWanted {
		wait = max(wait, slotRetryAfter)
	}
	if wait = max(wait, tokenWait); inGracePeriod && wait > 0 {
		wait = max(wait, LeaseTTL-now.Sub(l.since))
	}
	grant.RetryAfterMs = uint32((min(wait, maxRetryAfter) + time.Millisecond - 1) / time.Millisecond)
	return grant
}
