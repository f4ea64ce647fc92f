package gate

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

const maxEventBytes = 1 << 20

var (
	doneEvent  = []byte("data: [DONE]")
	idField    = []byte("id:")
	dataField  = []byte("data:")
	commentSep = []byte(":")
)

// eventReader reads whole server-sent events, so that a broken stream can be
// resumed behind the last event that was passed on.
type eventReader struct {
	reader   *bufio.Reader
	needDone bool // the stream is whole only after its closing event
	lastID   uint64
	done     bool
}

func newEventReader(body io.Reader, needDone bool) *eventReader {
	return &eventReader{reader: bufio.NewReader(body), needDone: needDone}
}

// continueWith goes on with the body of a resumed stream.
func (e *eventReader) continueWith(body io.Reader) { e.reader = bufio.NewReader(body) }

// next returns one event with its closing empty line and the tokens in it. It
// returns io.EOF only when the stream is whole.
func (e *eventReader) next() (event []byte, tokens uint32, err error) {
	var id uint64
	for {
		line, err := e.reader.ReadBytes('\n')
		if err != nil {
			return e.atEnd(append(event, line...), err)
		}
		event = append(event, line...)
		field := bytes.TrimRight(line, "\r\n")
		switch {
		case len(field) == 0:
			return e.whole(event, id, tokens)
		case bytes.HasPrefix(field, idField):
			id, _ = strconv.ParseUint(string(bytes.TrimSpace(field[len(idField):])), 10, 64)
		case bytes.Equal(field, doneEvent):
			e.done = true
		case bytes.HasPrefix(field, dataField):
			tokens = 1
		case bytes.HasPrefix(field, commentSep):
		}
		if len(event) > maxEventBytes {
			return nil, 0, bufio.ErrTooLong
		}
	}
}

// whole passes an event on, but for one that was passed on before.
func (e *eventReader) whole(event []byte, id uint64, tokens uint32) ([]byte, uint32, error) {
	if id > 0 && id <= e.lastID {
		return nil, 0, nil
	}
	e.lastID = max(id, e.lastID)
	return event, tokens, nil
}

func (e *eventReader) atEnd(rest []byte, err error) ([]byte, uint32, error) {
	if err == io.EOF && e.needDone && !e.done {
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
