package relay

import "github.com/apricotspoke/apricotspoke/protocol/wire"

// maxBuffered limits the messages kept after a gap. Messages beyond it are
// dropped and received again when the answer is resumed.
const maxBuffered = 256

// ReorderBuffer puts the chunks and the end of one answer in order of sequence
// and drops duplicates.
type ReorderBuffer struct {
	next     uint64
	buffered map[uint64]*wire.AttemptDown
}

// NewReorderBuffer returns a buffer that starts at the sequence number next.
func NewReorderBuffer(next uint64) *ReorderBuffer {
	return &ReorderBuffer{next: next, buffered: make(map[uint64]*wire.AttemptDown)}
}

// Add stores a message, in any order.
func (b *ReorderBuffer) Add(down *wire.AttemptDown) {
	if down.Sequence < b.next || len(b.buffered) >= maxBuffered && down.Sequence != b.next {
		return
	}
	if _, duplicate := b.buffered[down.Sequence]; !duplicate {
		b.buffered[down.Sequence] = down
	}
}

// Pop returns the next message in order, or nil if it has not arrived.
func (b *ReorderBuffer) Pop() *wire.AttemptDown {
	down, ok := b.buffered[b.next]
	if !ok {
		return nil
	}
	delete(b.buffered, b.next)
	b.next++
	return down
}

// Next returns the sequence number that Pop returns next.
func (b *ReorderBuffer) Next() uint64 { return b.next }

// Gap reports whether later messages have arrived but the next one has not.
func (b *ReorderBuffer) Gap() bool {
	_, ok := b.buffered[b.next]
	return !ok && len(b.buffered) > 0
}
