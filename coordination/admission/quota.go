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
	leaseRequestInterval    = 200 * time.Millisecond  // between periodic lease requests
	minLeaseRequestInterval = 5 * time.Millisecond    // between any two lease requests
	leaseRequestTimeout     = time.Second             // of one lease request
	maxQuotaWait            = 1500 * time.Millisecond // longest time that a request waits for quota
	// immediateLeaseRequests is the number of lease responses up to which a
	// waiting request triggers the next lease request immediately. After that,
	// the periodic ones must suffice.
	immediateLeaseRequests = 3
	defaultRetryAfter      = time.Second // when the control group has given none
)

// Leaser requests quota of contracts from the control group.
type Leaser interface {
	Lease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseResponse, error)
}

// Quota holds the quota that is leased to this entry, by organisation.
type Quota struct {
	entry  string
	leaser Leaser
	wake   chan struct{} // triggers a lease request

	mu       sync.Mutex
	accounts map[string]*account
	sequence uint64 // of the last lease request
}

// NewQuota returns a Quota that holds nothing; Run acquires the leases. It
// identifies itself to the control group by a new name each time, since the
// quota of an earlier process of this entry does not belong to it and the
// request sequence starts again.
func NewQuota(entry string, leaser Leaser) *Quota {
	return &Quota{entry: entry + "/" + rand.Text(), leaser: leaser, wake: make(chan struct{}, 1), accounts: make(map[string]*account)}
}

// Hold is the quota of one request. Release or Refund ends it.
type Hold struct {
	quota    *Quota
	contract *wire.Contract
	tokens   float64
	once     sync.Once
}

// Acquire acquires one request, its tokens and a slot. It waits for quota,
// unless the contract is known to be exhausted; waiting requests are served in
// order of arrival. The error is LimitExceeded, or NotCurrent when no lease
// could be obtained from the control group.
func (q *Quota) Acquire(ctx context.Context, contract *wire.Contract, tokens uint64) (*Hold, error) {
	w, err := q.enqueue(contract, float64(tokens))
	if err != nil {
		return nil, err
	}
	if err := q.waitFor(ctx, contract.Organisation, w); err != nil {
		return nil, err
	}
	return &Hold{quota: q, contract: contract, tokens: float64(tokens)}, nil
}

// enqueue serves a request at once, refuses it, or queues it behind the waiting
// ones.
func (q *Quota) enqueue(contract *wire.Contract, tokens float64) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	a := q.accountFor(contract, now)
	a.noteRequest(tokens, now)
	w := &waiter{tokens: tokens, done: make(chan error, 1)}
	a.waiting = append(a.waiting, w)
	a.serveWaiting(now)
	if wait := a.deniedUntil.Sub(now); wait > 0 && a.removeWaiter(w) {
		a.addDemand(tokens)
		return nil, limitExceeded(wait)
	}
	if len(a.waiting) > 0 {
		q.requestLease()
	}
	return w, nil
}

func (q *Quota) accountFor(contract *wire.Contract, now time.Time) *account {
	a, ok := q.accounts[contract.Organisation]
	if !ok {
		a = newAccount(contract, now)
		q.accounts[contract.Organisation] = a
	}
	a.contract = contract
	return a
}

// requestLease triggers a lease request without blocking.
func (q *Quota) requestLease() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// waitFor waits until the request is served or refused, but not longer than
// maxQuotaWait or until ctx ends.
func (q *Quota) waitFor(ctx context.Context, organisation string, w *waiter) error {
	deadline := time.NewTimer(maxQuotaWait)
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
	case a == nil || !a.removeWaiter(w):
		return <-w.done // served or refused in the meantime
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case w.leaseResponses > 0:
		return limitExceeded(defaultRetryAfter)
	}
	return fault.New(fault.NotCurrent, "no quota lease could be obtained from the control group").WithRetryAfter(defaultRetryAfter)
}

func limitExceeded(wait time.Duration) error {
	return fault.New(fault.LimitExceeded, "limit of the contract is reached").WithRetryAfter(wait)
}

// Release frees the slot and returns the tokens that were not used to the
// account; they do not count as demand. Further calls have no effect.
func (h *Hold) Release(usedTokens uint64) {
	h.once.Do(func() {
		h.quota.mu.Lock()
		defer h.quota.mu.Unlock()
		now := time.Now()
		a := h.quota.accountFor(h.contract, now)
		if a.slotsInUse > 0 {
			a.slotsInUse--
		}
		unused := max(0, h.tokens-float64(usedTokens))
		a.tokens += unused
		a.demandedTokens = max(0, a.demandedTokens-unused)
		a.serveWaiting(now)
	})
}

// Refund returns the slot, the request and all tokens of a request that did not
// run. Further calls have no effect.
func (h *Hold) Refund() {
	h.once.Do(func() {
		h.quota.mu.Lock()
		defer h.quota.mu.Unlock()
		now := time.Now()
		a := h.quota.accountFor(h.contract, now)
		if a.slotsInUse > 0 {
			a.slotsInUse--
		}
		a.requests++
		a.tokens += h.tokens
		a.demandedRequests = max(0, a.demandedRequests-1)
		a.demandedTokens = max(0, a.demandedTokens-h.tokens)
		a.serveWaiting(now)
	})
}

// SlotsInUse returns the number of concurrency slots that an organisation uses.
func (q *Quota) SlotsInUse(organisation string) uint32 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a := q.accounts[organisation]; a != nil {
		return a.slotsInUse
	}
	return 0
}

// Run requests and renews the leases until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	ticker := time.NewTicker(leaseRequestInterval)
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
		case <-time.After(minLeaseRequestInterval):
		}
	}
}

// renew sends one lease request and applies the grants.
func (q *Quota) renew(ctx context.Context) {
	request := q.leaseRequest()
	if len(request.Demands) == 0 {
		return
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	response, err := q.leaser.Lease(ctx, request)
	if err != nil || response.Failure != nil {
		return
	}
	q.applyGrants(response, sentAt)
}

func (q *Quota) leaseRequest() *wire.LeaseRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.sequence++
	request := &wire.LeaseRequest{Entry: q.entry, Sequence: q.sequence}
	for organisation, a := range q.accounts {
		if a.slotsInUse == 0 && len(a.waiting) == 0 && now.Sub(a.lastRequestAt) > dropAccountAfter {
			delete(q.accounts, organisation)
			continue
		}
		request.Demands = append(request.Demands, a.nextDemand(organisation, now))
	}
	return request
}

func (q *Quota) applyGrants(response *wire.LeaseResponse, sentAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, g := range response.Grants {
		if a, ok := q.accounts[g.Organisation]; ok && a.applyGrant(g, sentAt, now) {
			q.requestLease()
		}
	}
}

// ReturnUnspent returns all unspent quota to the control group. It is called
// when the process ends.
func (q *Quota) ReturnUnspent(ctx context.Context) {
	request := q.returnRequest()
	if len(request.Demands) > 0 {
		_, _ = q.leaser.Lease(ctx, request)
	}
}

func (q *Quota) returnRequest() *wire.LeaseRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	request := &wire.LeaseRequest{Entry: q.entry, Sequence: q.sequence}
	for organisation, a := range q.accounts {
		a.dropExpired(time.Now())
		request.Demands = append(request.Demands, &wire.QuotaDemand{
			Organisation:      organisation,
			ReturnedRequests:  a.requests,
			ReturnedTokens:    a.tokens,
			ConcurrencyHeld:   a.slotsInUse,
			ConcurrencyWanted: a.slotsInUse,
		})
		a.requests, a.tokens, a.slots = 0, 0, a.slotsInUse
	}
	return request
}
