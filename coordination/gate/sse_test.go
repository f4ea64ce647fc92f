package gate

import (
	"bufio"
	"errors"
	"io"
	"testing"
)

// repeating reads one byte for ever, up to a limit, and counts what was read.
type repeating struct {
	byte  byte
	limit int
	read  int
}

func (r *repeating) Read(p []byte) (int, error) {
	if r.read >= r.limit {
		return 0, io.EOF
	}
	for i := range p {
		p[i] = r.byte
	}
	r.read += len(p)
	return len(p), nil
}

// Guards against a line without end filling the memory of the gate: it must be given up
// after maxEventBytes.
func TestEndlessLineOfAnEventIsGivenUp(t *testing.T) {
	body := &repeating{byte: 'a', limit: 32 * maxEventBytes}
	_, _, err := newEventReader(body, true).next()
	if !errors.Is(err, bufio.ErrTooLong) || body.read > 2*maxEventBytes {
		t.Errorf("%d bytes were read: %v", body.read, err)
	}
}
