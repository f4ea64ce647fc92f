package gate

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes limits one server-sent event.
const maxEventBytes = 1 << 20

var (
	doneEvent     = []byte("data: [DONE]")
	idField       = []byte("id:")
	dataField     = []byte("data:")
	commentPrefix = []byte(":")
)

// eventReader reads complete server-sent events, so that a broken stream can be
// resumed after the last event that was forwarded.
type eventReader struct {
	reader        *bufio.Reader
	requireDone   bool // the stream is complete only after its [DONE] event
	endsWithClose bool // the stream is complete only after a whole event
	lastID        uint64
	begun         bool // an event with an ID or data was read
	done          bool
}

func newEventReader(body io.Reader, requireDone bool) *eventReader {
	return &eventReader{reader: bufio.NewReader(body), requireDone: requireDone}
}

// continueWith continues with the body of a resumed stream.
func (e *eventReader) continueWith(body io.Reader) { e.reader = bufio.NewReader(body) }

// next returns one event with its closing blank line and its number of tokens,
// which is taken to be 1 for an event with data. It returns io.EOF only when
// the stream is complete.
func (e *eventReader) next() (event []byte, tokens uint32, err error) {
	var id uint64
	for {
		line, err := e.readLine(maxEventBytes - len(event))
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, 0, err
		}
		if err != nil {
			return e.atEnd(append(event, line...), err)
		}
		event = append(event, line...)
		field := bytes.TrimRight(line, "\r\n")
		switch {
		case len(field) == 0:
			return e.skipDuplicate(event, id, tokens)
		case bytes.HasPrefix(field, idField):
			id, _ = strconv.ParseUint(string(bytes.TrimSpace(field[len(idField):])), 10, 64)
		case bytes.Equal(field, doneEvent):
			e.done = true
		case bytes.HasPrefix(field, dataField):
			tokens = 1
		case bytes.HasPrefix(field, commentPrefix): // comments contain no tokens
		}
	}
}

// readLine returns one line with its end. The error is bufio.ErrTooLong if it is longer
// than maxBytes.
func (e *eventReader) readLine(maxBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		if len(line)+len(part) > maxBytes {
			return nil, bufio.ErrTooLong
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// skipDuplicate returns an event, or nothing when a resumed stream repeats an
// event that was forwarded before.
func (e *eventReader) skipDuplicate(event []byte, id uint64, tokens uint32) ([]byte, uint32, error) {
	if id > 0 && id <= e.lastID {
		return nil, 0, nil
	}
	e.lastID = max(id, e.lastID)
	e.begun = e.begun || id > 0 || tokens > 0
	return event, tokens, nil
}

// atEnd returns the rest of the stream and io.EOF if the stream is complete,
// and otherwise the error that ended it.
func (e *eventReader) atEnd(rest []byte, err error) ([]byte, uint32, error) {
	if err == io.EOF && e.requireDone && !e.done {
		return nil, 0, io.ErrUnexpectedEOF
	}
	if err == io.EOF && e.endsWithClose && !e.done && (len(rest) > 0 || !e.begun) {
		return nil, 0, io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		return rest, 0, io.EOF
	}
	if e.done {
		return rest, 0, io.EOF
	}
	return nil, 0, err
}
