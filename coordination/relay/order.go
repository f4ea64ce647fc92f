package relay

import "github.com/apricotspoke/apricotspoke/protocol/wire"

// maxHeld bounds the messages kept beyond a gap; later ones are fetched again.
const maxHeld = 256

// ReorderBuffer puts the chunks and the end of one answer in order of sequence and
// drops doubles.
type ReorderBuffer struct {
	next uint64
	held map[uint64]*wire.AttemptDown
}

// NewReorderBuffer returns an order that gives out the messages from a sequence on.
func NewReorderBuffer(next uint64) *ReorderBuffer {
	return &ReorderBuffer{next: next, held: make(map[uint64]*wire.AttemptDown)}
}

// Add takes a message as it arrives.
func (o *ReorderBuffer) Add(down *wire.AttemptDown) {
	if down.Sequence < o.next || len(o.held) >= maxHeld && down.Sequence != o.next {
		return
	}
	if _, double := o.held[down.Sequence]; !double {
		o.held[down.Sequence] = down
	}
}

// Pop returns the next message in order, or nil when it has not arrived.
func (o *ReorderBuffer) Pop() *wire.AttemptDown {
	down, ok := o.held[o.next]
	if !ok {
		return nil
	}
	delete(o.held, o.next)
	o.next++
	return down
}

// Next is the sequence that Pop waits for.
func (o *ReorderBuffer) Next() uint64 { return o.next }

// Gap reports whether later messages have arrived before the next one.
func (o *ReorderBuffer) Gap() bool {
	_, ok := o.held[o.next]
	return !ok && len(o.held) > 0
}
