package serve

import "sync/atomic"

// Memory bounds what a process buffers, beside other users of the same bound. Reserve charges
// bytes, or returns an error if there is no room for them; Release returns them. Capacity is
// the most that can be charged.
type Memory interface {
	Reserve(n int) error
	Release(n int)
	Capacity() int64
}

// answerBuffer counts the buffered bytes of all answers. They are charged to memory, or are
// at most maxBufferedBytes without one.
type answerBuffer struct {
	held   atomic.Int64
	memory Memory
}

// SetMemory makes the server charge the answers that it buffers to memory. It must be called
// before Serve.
func (s *Server) SetMemory(memory Memory) { s.bufferedBytes.memory = memory }

// capacity returns the most bytes that can be held.
func (b *answerBuffer) capacity() int64 {
	if b.memory != nil {
		return b.memory.Capacity()
	}
	return maxBufferedBytes
}

// Load returns the bytes that are held.
func (b *answerBuffer) Load() int64 { return b.held.Load() }

// Add changes the bytes that are held. A negative change returns bytes that reserve has
// charged; others are charged with reserve.
func (b *answerBuffer) Add(change int64) {
	b.held.Add(change)
	if b.memory != nil && change < 0 {
		b.memory.Release(int(-change))
	}
}

// reserve adds n bytes to buffered, or fails if there is no room for them. The error of the
// memory isn't passed on, as its kind would claim that the request has not run.
func reserve(buffered *answerBuffer, n int) error {
	if buffered.memory != nil {
		if err := buffered.memory.Reserve(n); err != nil {
			return errBufferFull
		}
		buffered.held.Add(int64(n))
		return nil
	}
	if buffered.held.Add(int64(n)) <= maxBufferedBytes {
		return nil
	}
	buffered.held.Add(-int64(n))
	return errBufferFull
}
