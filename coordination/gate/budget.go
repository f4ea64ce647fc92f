package gate

import (
	"slices"
	"sync"
)

// DefaultReplayBytes is the default limit of the unacknowledged answer bytes of
// one gate.
const DefaultReplayBytes = 64 << 20

// replayBudget limits the bytes in all replay buffers of a gate. When the limit
// is reached, ended answers without a reader are released in favour of running
// ones.
type replayBudget struct {
	total int

	mu    sync.Mutex
	used  int
	freed chan struct{}   // closed when bytes are released
	idle  []*replayBuffer // buffers of ended answers without a reader, oldest first
}

func newReplayBudget(total int) *replayBudget {
	if total == 0 {
		total = DefaultReplayBytes
	}
	return &replayBudget{total: total, freed: make(chan struct{})}
}

// reserve reserves n bytes and releases idle answers if needed. When none are
// left to release, it returns a channel to wait on.
func (b *replayBudget) reserve(n int) <-chan struct{} {
	for {
		oldest, wait := b.tryReserve(n)
		if oldest == nil {
			return wait
		}
		oldest.release()
	}
}

func (b *replayBudget) tryReserve(n int) (oldest *replayBuffer, wait <-chan struct{}) {
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

func (b *replayBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	close(b.freed)
	b.freed = make(chan struct{})
}

// addIdle marks an answer as one that may be released.
func (b *replayBudget) addIdle(r *replayBuffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = append(b.idle, r)
}

// removeIdle unmarks an answer that has a reader again or has been released.
func (b *replayBudget) removeIdle(r *replayBuffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = slices.DeleteFunc(b.idle, func(have *replayBuffer) bool { return have == r })
}
