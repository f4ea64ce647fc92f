package serve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxEventBytes bounds the bytes that are buffered for one event, with all that
// belongs to it (see event). A response beyond it is invalid. The limit keeps an
// endpoint that sends data without IDs, or a line without an end, from filling the
// memory; a stream with longer events can't be served.
const maxEventBytes = 256 << 10

// lineBufferBytes is the size of the buffer through which a stream is read.
const lineBufferBytes = 4 << 10

// event is one server-sent event: a block with an ID, that is, lines up to and
// including the next empty line. The blocks without an ID before it, such as comments
// and empty lines, belong to it. Such blocks at the end of a stream form a last event
// with an empty ID.
type event struct {
	bytes []byte
	id    string
}

var (
	idField       = []byte("id:")
	commentPrefix = []byte(":")
)

const eventStreamType = "text/event-stream" // a content type

// isStream reports whether the response says that it is a stream of events.
func (response *Response) isStream() bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType)
}

// readEvents reads whole events from body and sends them to events. Its error is
// nil only when the stream ended between two blocks. A block without an ID is held
// back until a block with an ID or the end of the stream, so that an endpoint which
// sends only comments or empty lines counts as silent. The bytes of the event that is being
// read are counted in buffered.
func readEvents(ctx context.Context, body io.Reader, events chan<- event, buffered *answerBuffer) error {
	lines := bufio.NewReaderSize(body, lineBufferBytes)
	var e event
	defer func() { buffered.Add(-int64(len(e.bytes))) }()
	for {
		atBoundary, err := readBlock(lines, &e, buffered)
		switch {
		case errors.Is(err, io.EOF) && atBoundary && len(e.bytes) == 0:
			return nil
		case errors.Is(err, io.EOF) && !atBoundary:
			return io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return err
		}
		if e.id == "" && err == nil {
			continue // the block belongs to the next event
		}
		select {
		case events <- e:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return nil
		}
		buffered.Add(-int64(len(e.bytes)))
		e = event{}
	}
}

// readBlock appends the lines up to and including the next empty one to an event. It
// returns io.EOF at the end of the stream. atBoundary reports whether reading has
// stopped between two blocks: after an empty line, or at an end of the stream before
// the first byte of a block.
func readBlock(lines *bufio.Reader, e *event, buffered *answerBuffer) (atBoundary bool, err error) {
	start := len(e.bytes)
	lineStart := start
	for {
		part, err := lines.ReadSlice('\n')
		if err := reserve(buffered, len(part)); err != nil {
			return false, err
		}
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

// isComment reports whether an event holds nothing but comments and empty lines.
func (e *event) isComment() bool {
	for line := range bytes.Lines(e.bytes) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && !bytes.HasPrefix(line, commentPrefix) {
			return false
		}
	}
	return true
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
