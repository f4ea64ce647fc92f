package gate

import (
	"slices"
	"sync"
)

// DefaultReplayBytes bounds the unacknowledged bytes of one gate's answers.
const DefaultReplayBytes = 64 << 20

// budget bounds the bytes that all replay buffers of a gate hold. Answers that
// ended and that nobody reads give way to those that run.
type budget struct {
	total int

	mu    sync.Mutex
	used  int
	freed chan struct{} // closed when bytes are freed
	idle  []*replay     // ended and without a reader, oldest first
}

func newBudget(total int) *budget {
	if total == 0 {
		total = DefaultReplayBytes
	}
	return &budget{total: total, freed: make(chan struct{})}
}

// take adds n bytes, releasing idle answers for them. When there are none left
// it returns a channel to wait on.
func (b *budget) take(n int) <-chan struct{} {
	for {
		oldest, wait := b.tryTake(n)
		if oldest == nil {
			return wait
		}
		oldest.release()
	}
}

func (b *budget) tryTake(n int) (oldest *replay, wait <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used == 0 || b.used+n <= b.total {
		b.used += n
		return nil, nil
	}
	if len(b.idle) == 0 {
		return nil, b.freed
	}
	oldest = b.idle[0]
	b.idle = b.idle[1:]
	return oldest, nil
}

func (b *budget) give(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	close(b.freed)
	b.freed = make(chan struct{})
}

// addIdle marks an answer as one that may give way.
func (b *budget) addIdle(r *replay) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = append(b.idle, r)
}

// removeIdle keeps an answer that is read again or forgotten.
func (b *budget) removeIdle(r *replay) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = slices.DeleteFunc(b.idle, func(have *replay) bool { return have == r })
}
