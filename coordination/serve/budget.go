package serve

import (
	"sync"
	"time"
)

// repeatBudget bounds the attempts beyond the first of each request. Each entry
// has its own part of what all entries share.
type repeatBudget struct {
	settings func() *Settings
	now      func() time.Time

	mu       sync.Mutex
	services map[string]*repeatWindow
}

// repeatWindow counts over the window that slides.
type repeatWindow struct {
	asked   []time.Time
	repeats []time.Time
}

// budgetShare is the part of the budget that is used: requests that other
// entries count may fall into another window.
const budgetShare = 0.5

func newRepeatBudget(settings func() *Settings) *repeatBudget {
	return &repeatBudget{settings: settings, now: time.Now, services: make(map[string]*repeatWindow)}
}

func (b *repeatBudget) window(service string, now time.Time) *repeatWindow {
	w := b.services[service]
	if w == nil {
		w = &repeatWindow{}
		b.services[service] = w
	}
	from := now.Add(-b.settings().RetryWindow)
	w.asked = since(w.asked, from)
	w.repeats = since(w.repeats, from)
	return w
}

// since drops the times before a moment; times ascend.
func since(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}

// asked counts a request for a service.
func (b *repeatBudget) asked(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	w := b.window(service, now)
	w.asked = append(w.asked, now)
}

// left is how many further repeats each service's budget allows now.
func (b *repeatBudget) left() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[string]int, len(b.services))
	for service := range b.services {
		w := b.window(service, b.now())
		left[service] = max(0, int(b.allowed(w))-len(w.repeats))
	}
	return left
}

// allowed is how many repeats the budget has for a window.
func (b *repeatBudget) allowed(w *repeatWindow) float64 {
	settings := b.settings()
	slack := settings.RetrySlack / float64(max(1, settings.EntryCount()))
	return budgetShare * (settings.RetryRatio*float64(len(w.asked)) + slack)
}

// take reports whether a repeat is allowed, and counts it.
func (b *repeatBudget) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	w := b.window(service, now)
	if float64(len(w.repeats)+1) > b.allowed(w) {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}
