package serve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event, with the comments before it.
const maxEventBytes = 256 << 10

// event is one server-sent event with the empty line that ends it. Comments,
// empty lines and blocks without an ID before it belong to it.
type event struct {
	bytes []byte
	id    string
}

var idField = []byte("id:")

// readEvents reads whole events from body and sends them to events. Its error is
// nil only when the stream ended between two events. Only a block with an ID is an
// event, so that an endpoint which sends only comments or empty lines counts as
// silent.
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
			continue // a part of the next event
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

// readBlock appends the lines up to the next empty one to an event. At the end of
// the stream it returns io.EOF, with done set when it has read nothing.
func readBlock(lines *bufio.Reader, e *event) (done bool, err error) {
	start := len(e.bytes)
	lineStart := start
	for {
		part, err := lines.ReadSlice('\n')
		e.bytes = append(e.bytes, part...)
		switch {
		case len(e.bytes) > maxEventBytes:
			return false, errInvalidResponse
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return len(e.bytes) == start, io.EOF
		case err != nil:
			return false, err
		}
		line := bytes.TrimRight(e.bytes[lineStart:], "\r\n")
		lineStart = len(e.bytes)
		if len(line) == 0 {
			return true, nil
		}
		if !bytes.ContainsRune(line, ':') {
			return false, errInvalidResponse // neither a field nor a comment
		}
		if rest, found := bytes.CutPrefix(line, idField); found {
			e.id = string(bytes.TrimSpace(rest))
		}
	}
}

// follows reports whether an event may come after the one with the ID last: the
// IDs differ, and increase where both are numbers.
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
