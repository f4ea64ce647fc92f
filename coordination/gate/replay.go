package gate

import (
	"context"
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxReplayBytes = 1 << 20 // unacknowledged bytes of one attempt
	// maxChunkBytes limits the data of one chunk.
	maxChunkBytes = 64 << 10
)

// replayBuffer keeps the unacknowledged messages of one attempt's answer. Their
// sequence numbers start at 1; the acceptance has number 0 and is not kept.
type replayBuffer struct {
	budget *replayBudget

	mu         sync.Mutex
	messages   []*wire.AttemptDown
	first      uint64 // sequence of messages[0]
	next       uint64 // sequence of the next message
	bytes      int
	closed     bool // the last message has been added
	discarding bool // the answer has no reader; further chunks are discarded
	released   bool
	changed    chan struct{}
}

func newReplayBuffer(b *replayBudget) *replayBuffer {
	return &replayBuffer{budget: b, first: 1, next: 1, changed: make(chan struct{})}
}

func (r *replayBuffer) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// addChunk adds a part of the answer. It waits while the buffer is full.
func (r *replayBuffer) addChunk(ctx context.Context, data []byte, tokens uint32) error {
	for {
		wait := r.tryAddChunk(data, tokens)
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

func (r *replayBuffer) tryAddChunk(data []byte, tokens uint32) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.discarding || r.closed {
		return nil
	}
	if r.bytes > 0 && r.bytes+len(data) > maxReplayBytes {
		return r.changed
	}
	if wait := r.budget.reserve(len(data)); wait != nil {
		return wait
	}
	r.bytes += len(data)
	r.appendMessage(&wire.AttemptDown{Of: &wire.AttemptDown_Chunk{Chunk: &wire.Chunk{Data: data, Tokens: tokens}}})
	return nil
}

func (r *replayBuffer) appendMessage(m *wire.AttemptDown) {
	m.Sequence = r.next
	r.next++
	r.messages = append(r.messages, m)
	r.notifyChange()
}

// addLast adds the last message; later ones are ignored.
func (r *replayBuffer) addLast(m *wire.AttemptDown) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	if end := m.GetEnd(); end != nil {
		end.Chunks = r.next - 1
	}
	r.appendMessage(m)
}

// acknowledge frees all messages up to sequence.
func (r *replayBuffer) acknowledge(sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUpTo(sequence)
}

func (r *replayBuffer) dropUpTo(sequence uint64) {
	n := 0
	for n < len(r.messages) && r.messages[n].Sequence <= sequence {
		freed := len(r.messages[n].GetChunk().GetData())
		r.bytes -= freed
		r.budget.release(freed)
		r.messages[n] = nil
		n++
	}
	if n == 0 {
		return
	}
	r.messages = r.messages[n:]
	r.first += uint64(n)
	r.notifyChange()
}

// discard frees the messages and discards all further chunks, because the
// answer will not be read.
func (r *replayBuffer) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.messages) > 0 && !r.closed {
		r.dropUpTo(r.next)
	}
	r.discarding = true
	r.notifyChange()
}

// release frees the buffer permanently.
func (r *replayBuffer) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUpTo(r.next)
	r.released = true
	r.notifyChange()
}

// read returns the messages from sequence from on. When there is none yet, it
// returns a channel that is closed on the next change; done is true when the
// last message lies before from.
func (r *replayBuffer) read(from uint64) (messages []*wire.AttemptDown, wait <-chan struct{}, done bool, err error) {
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
