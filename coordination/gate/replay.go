package gate

import (
	"context"
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxReplayBytes = 1 << 20 // of one attempt, unacknowledged
	// maxChunkBytes bounds the data of one chunk.
	maxChunkBytes = 64 << 10
)

// replay keeps the unacknowledged part of one attempt's answer. The messages
// count from 1; sequence 0, the acceptance, is not kept.
type replay struct {
	budget *budget

	mu       sync.Mutex
	messages []*wire.AttemptDown
	first    uint64 // sequence of messages[0]
	next     uint64 // sequence of the next message
	bytes    int
	closed   bool // the last message is in
	dropping bool // nobody will read the answer
	released bool
	changed  chan struct{}
}

func newReplay(b *budget) *replay {
	return &replay{budget: b, first: 1, next: 1, changed: make(chan struct{})}
}

func (r *replay) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// chunk adds a part of the answer. It waits while the buffer is full.
func (r *replay) chunk(ctx context.Context, data []byte, tokens uint32) error {
	for {
		wait := r.tryChunk(data, tokens)
		if wait == nil {
			return nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *replay) tryChunk(data []byte, tokens uint32) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropping || r.closed {
		return nil
	}
	if r.bytes > 0 && r.bytes+len(data) > maxReplayBytes {
		return r.changed
	}
	if wait := r.budget.take(len(data)); wait != nil {
		return wait
	}
	r.bytes += len(data)
	r.push(&wire.AttemptDown{Of: &wire.AttemptDown_Chunk{Chunk: &wire.Chunk{Data: data, Tokens: tokens}}})
	return nil
}

func (r *replay) push(m *wire.AttemptDown) {
	m.Sequence = r.next
	r.next++
	r.messages = append(r.messages, m)
	r.signal()
}

// finish adds the last message; later ones are ignored.
func (r *replay) finish(m *wire.AttemptDown) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	if end := m.GetEnd(); end != nil {
		end.Chunks = r.next - 1
	}
	r.push(m)
}

// acknowledge drops all messages up to sequence.
func (r *replay) acknowledge(sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUpTo(sequence)
}

func (r *replay) dropUpTo(sequence uint64) {
	n := 0
	for n < len(r.messages) && r.messages[n].Sequence <= sequence {
		freed := len(r.messages[n].GetChunk().GetData())
		r.bytes -= freed
		r.budget.give(freed)
		r.messages[n] = nil
		n++
	}
	if n == 0 {
		return
	}
	r.messages = r.messages[n:]
	r.first += uint64(n)
	r.signal()
}

// drop gives up the answer: nobody will read it.
func (r *replay) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.messages) > 0 && !r.closed {
		r.dropUpTo(r.next)
	}
	r.dropping = true
	r.signal()
}

// release frees the buffer for good.
func (r *replay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUpTo(r.next)
	r.released = true
	r.signal()
}

// read returns the messages from a sequence on. When there is none yet it
// returns a channel that is closed on the next change; done tells that the
// sequence lies behind the last message.
func (r *replay) read(from uint64) (messages []*wire.AttemptDown, wait <-chan struct{}, done bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case from >= r.next:
		if r.released && !r.closed {
			return nil, nil, false, errReleased
		}
		return nil, r.changed, r.closed, nil
	case from < r.first:
		return nil, nil, false, errGone
	}
	return append(messages, r.messages[from-r.first:]...), nil, false, nil
}
