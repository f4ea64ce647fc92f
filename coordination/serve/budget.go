package serve

import (
	"sync"
	"time"
)

// retryBudget limits the retries of each service, in proportion to its requests.
// Each entry has its own part of the slack that all entries share.
type retryBudget struct {
	settings func() *Settings
	now      func() time.Time

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow holds the times of a service's requests and retries within the
// sliding window.
type retryWindow struct {
	requests []time.Time
	retries  []time.Time
}

// budgetShare is the share of its budget that an entry uses. An entry counts a retry
// against the requests of the window before it, so in any given window some retries
// are paid for by requests from before that window. With half of the budget, the
// retries of all entries together stay within the whole budget in any window, unless
// the requests of the window before outnumber its own.
const budgetShare = 0.5

func newRetryBudget(settings func() *Settings) *retryBudget {
	return &retryBudget{settings: settings, now: time.Now, services: make(map[string]*retryWindow)}
}

// window returns the window of a service up to now.
func (b *retryBudget) window(service string, now time.Time) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	from := now.Add(-b.settings().RetryWindow)
	w.requests = dropBefore(w.requests, from)
	w.retries = dropBefore(w.retries, from)
	return w
}

// dropBefore drops the times before from; times is in ascending order.
func dropBefore(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}

// recordRequest counts a request to a service.
func (b *retryBudget) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	w := b.window(service, now)
	w.requests = append(w.requests, now)
}

// remaining returns how many further retries the budget of each service allows now.
func (b *retryBudget) remaining() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[string]int, len(b.services))
	for service := range b.services {
		w := b.window(service, b.now())
		left[service] = max(0, int(b.allowed(w))-len(w.retries))
	}
	return left
}

// allowed returns how many retries the budget allows in a window.
func (b *retryBudget) allowed(w *retryWindow) float64 {
	settings := b.settings()
	slack := settings.RetrySlack / float64(max(1, settings.EntryCount()))
	return budgetShare * (settings.RetryRatio*float64(len(w.requests)) + slack)
}

// take counts a retry if the budget allows it, and reports whether it does.
func (b *retryBudget) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	w := b.window(service, now)
	if float64(len(w.retries)+1) > b.allowed(w) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}
