package admission

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	leaseEvery   = 200 * time.Millisecond
	leaseLeast   = 5 * time.Millisecond // between leases that waiting requests ask for
	leaseTimeout = time.Second
	leaseWait    = 1500 * time.Millisecond // for the first lease of an organisation
	leaseRounds  = 3                       // answers without the quota after which it is asked for less often
	defaultRetry = time.Second
)

// Leaser asks control for parts of contracts.
type Leaser interface {
	Lease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseResponse, error)
}

// Quota holds this entry's parts of the contracts.
type Quota struct {
	entry  string
	leaser Leaser
	wake   chan struct{}

	mu       sync.Mutex
	accounts map[string]*account
	sequence uint64 // of the last lease request
}

// NewQuota returns a quota that holds nothing; Run fills it. Its name towards
// control is new each time: what an earlier process of this entry held is not
// its own, and its request sequence starts again.
func NewQuota(entry string, leaser Leaser) *Quota {
	return &Quota{entry: entry + "/" + rand.Text(), leaser: leaser, wake: make(chan struct{}, 1), accounts: make(map[string]*account)}
}

// Hold is the quota of one request. Release gives back what it did not use.
type Hold struct {
	quota    *Quota
	contract *wire.Contract
	tokens   float64
	once     sync.Once
}

// Acquire takes one request, its tokens and a slot, without waiting when the
// contract is known to be used up. Requests that wait are served in the order in
// which they came. The error is LimitExceeded, or NotCurrent when control can't
// be reached for a lease.
func (q *Quota) Acquire(ctx context.Context, contract *wire.Contract, tokens uint64) (*Hold, error) {
	w, err := q.join(contract, float64(tokens))
	if err != nil {
		return nil, err
	}
	if err := q.await(ctx, contract.Organisation, w); err != nil {
		return nil, err
	}
	return &Hold{quota: q, contract: contract, tokens: float64(tokens)}, nil
}

// join serves a request at once, refuses it, or lets it wait behind the others.
func (q *Quota) join(contract *wire.Contract, tokens float64) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	a := q.account(contract, now)
	a.ask(tokens, now)
	w := &waiter{tokens: tokens, done: make(chan error, 1)}
	a.waiting = append(a.waiting, w)
	a.serve(now)
	if wait := a.deniedUntil.Sub(now); wait > 0 && a.withdraw(w) {
		a.asked(tokens)
		return nil, limitExceeded(wait)
	}
	if len(a.waiting) > 0 {
		q.poke()
	}
	return w, nil
}

func (q *Quota) account(contract *wire.Contract, now time.Time) *account {
	a, ok := q.accounts[contract.Organisation]
	if !ok {
		a = newAccount(contract, now)
		q.accounts[contract.Organisation] = a
	}
	a.contract = contract
	return a
}

func (q *Quota) poke() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// await returns when the request is served or refused.
func (q *Quota) await(ctx context.Context, organisation string, w *waiter) error {
	deadline := time.NewTimer(leaseWait)
	defer deadline.Stop()
	select {
	case err := <-w.done:
		return err
	case <-deadline.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	switch a := q.accounts[organisation]; {
	case a == nil || !a.withdraw(w):
		return <-w.done // decided meanwhile
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case w.answers > 0:
		return limitExceeded(defaultRetry)
	}
	return fault.New(fault.NotCurrent, "no quota lease could be had from control").After(defaultRetry)
}

func limitExceeded(wait time.Duration) error {
	return fault.New(fault.LimitExceeded, "the contract's limit is reached").After(wait)
}

// Release frees the slot and gives back the tokens that were not used. Further
// calls do nothing.
func (h *Hold) Release(usedTokens uint64) {
	h.once.Do(func() {
		h.quota.mu.Lock()
		defer h.quota.mu.Unlock()
		now := time.Now()
		a := h.quota.account(h.contract, now)
		if a.used > 0 {
			a.used--
		}
		unused := max(0, h.tokens-float64(usedTokens))
		a.tokens += unused
		a.askedTokens = max(0, a.askedTokens-unused)
		a.serve(now)
	})
}

// Refund releases the hold of a request that did not run: all of it goes back.
func (h *Hold) Refund() {
	h.once.Do(func() {
		h.quota.mu.Lock()
		defer h.quota.mu.Unlock()
		now := time.Now()
		a := h.quota.account(h.contract, now)
		if a.used > 0 {
			a.used--
		}
		a.requests++
		a.tokens += h.tokens
		a.askedRequests = max(0, a.askedRequests-1)
		a.askedTokens = max(0, a.askedTokens-h.tokens)
		a.serve(now)
	})
}

// SlotsInUse returns the slots in use of an organisation.
func (q *Quota) SlotsInUse(organisation string) uint32 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a := q.accounts[organisation]; a != nil {
		return a.used
	}
	return 0
}

// Run renews the leases until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	ticker := time.NewTicker(leaseEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-q.wake:
		}
		q.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaseLeast):
		}
	}
}

func (q *Quota) renew(ctx context.Context) {
	request := q.request()
	if len(request.Demands) == 0 {
		return
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	response, err := q.leaser.Lease(ctx, request)
	if err != nil || response.Failure != nil {
		return
	}
	q.granted(response, sentAt)
}

func (q *Quota) request() *wire.LeaseRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.sequence++
	request := &wire.LeaseRequest{Entry: q.entry, Sequence: q.sequence}
	for organisation, a := range q.accounts {
		if a.used == 0 && len(a.waiting) == 0 && now.Sub(a.lastTake) > forgetAfter {
			delete(q.accounts, organisation)
			continue
		}
		request.Demands = append(request.Demands, a.demand(organisation, now))
	}
	return request
}

func (q *Quota) granted(response *wire.LeaseResponse, sentAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, g := range response.Grants {
		if a, ok := q.accounts[g.Organisation]; ok && a.grant(g, sentAt, now) {
			q.poke()
		}
	}
}

// ReturnUnspent hands all unspent quota back, for a process that ends.
func (q *Quota) ReturnUnspent(ctx context.Context) {
	request := q.returnAll()
	if len(request.Demands) > 0 {
		_, _ = q.leaser.Lease(ctx, request)
	}
}

func (q *Quota) returnAll() *wire.LeaseRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	request := &wire.LeaseRequest{Entry: q.entry, Sequence: q.sequence}
	for organisation, a := range q.accounts {
		a.expire(time.Now())
		request.Demands = append(request.Demands, &wire.QuotaDemand{
			Organisation:      organisation,
			ReturnedRequests:  a.requests,
			ReturnedTokens:    a.tokens,
			ConcurrencyHeld:   a.used,
			ConcurrencyWanted: a.used,
		})
		a.requests, a.tokens, a.slots = 0, 0, a.used
	}
	return request
}
