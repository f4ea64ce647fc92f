package serve

import (
	"errors"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// limitedMemory refuses what exceeds a number of bytes.
type limitedMemory struct{ free int }

func (m *limitedMemory) Reserve(n int) error {
	if n > m.free {
		return fault.New(fault.Overloaded, "no room")
	}
	m.free -= n
	return nil
}

func (m *limitedMemory) Release(n int) { m.free += n }

func (m *limitedMemory) Capacity() int64 { return 100_000 }

// Guards against answers beyond the memory that the process has, against bytes that are not
// returned, and against a refusal that claims that a request which ran has not.
func TestAnswersAreChargedToTheMemoryOfTheProcess(t *testing.T) {
	memory := &limitedMemory{free: 100_000}
	buffered := &answerBuffer{memory: memory}
	text, err := readBuffered(strings.NewReader(strings.Repeat("x", 60_000)), buffered)
	if err != nil || len(text) != 60_000 || memory.free != 40_000 || buffered.Load() != 60_000 {
		t.Errorf("%d bytes, %v, %d free, %d held", len(text), err, memory.free, buffered.Load())
	}
	rest, err := readBuffered(strings.NewReader(strings.Repeat("x", 60_000)), buffered)
	if !errors.Is(err, errBufferFull) || fault.KindOf(err).NotRun() {
		t.Errorf("an answer without room: %v", err)
	}
	buffered.Add(-int64(len(text) + len(rest)))
	if memory.free != 100_000 || buffered.Load() != 0 {
		t.Errorf("%d free, %d held after the end", memory.free, buffered.Load())
	}
}
