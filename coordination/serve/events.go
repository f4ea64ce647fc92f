package serve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream, with what stands before it.
const maxEventBytes = 256 << 10

// event is one whole event of a stream, with the empty line that ends it, and
// what stood before it that is no event.
type event struct {
	bytes []byte
	id    string
}

var idField = []byte("id:")

// readEvents sends whole events until the stream ends. Its error is nil only
// when the stream ended between two events. An event has an identity; comments
// and empty lines alone are none, so that an endpoint which sends only these
// counts as silent.
func readEvents(ctx context.Context, body io.Reader, events chan<- event) error {
	lines := bufio.NewReaderSize(body, 4<<10)
	var e event
	for {
		done, err := readBlock(lines, &e)
		switch {
		case errors.Is(err, io.EOF) && done && len(e.bytes) == 0:
			return nil
		case errors.Is(err, io.EOF) && !done:
			return io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return err
		}
		if e.id == "" && err == nil {
			continue // it goes on with the next event
		}
		select {
		case events <- e:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return nil
		}
		e = event{}
	}
}

// readBlock adds the lines up to the next empty one to an event. At the end of the
// stream it returns io.EOF, and done when no line was left.
func readBlock(lines *bufio.Reader, e *event) (done bool, err error) {
	begun := len(e.bytes)
	lineStart := begun
	for {
		part, err := lines.ReadSlice('\n')
		e.bytes = append(e.bytes, part...)
		switch {
		case len(e.bytes) > maxEventBytes:
			return false, errGarbled
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return len(e.bytes) == begun, io.EOF
		case err != nil:
			return false, err
		}
		line := bytes.TrimRight(e.bytes[lineStart:], "\r\n")
		lineStart = len(e.bytes)
		if len(line) == 0 {
			return true, nil
		}
		if !bytes.ContainsRune(line, ':') {
			return false, errGarbled // neither a field nor a comment
		}
		if rest, found := bytes.CutPrefix(line, idField); found {
			e.id = string(bytes.TrimSpace(rest))
		}
	}
}

// follows reports whether an event may come after the one with identity last: it
// is another one, and later where both are numbers.
func (e *event) follows(last string) bool {
	if e.id == "" || last == "" {
		return true
	}
	id, idErr := strconv.ParseUint(e.id, 10, 64)
	lastID, lastErr := strconv.ParseUint(last, 10, 64)
	if idErr != nil || lastErr != nil {
		return e.id != last
	}
	return id > lastID
}
