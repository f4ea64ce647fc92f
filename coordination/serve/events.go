package serve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// event is one whole event of a stream, with the empty line that ends it.
type event struct {
	bytes []byte
	id    string
}

var idField = []byte("id:")

// readEvents sends whole events until the stream ends. Its error is nil only
// when the stream ended between two events.
func readEvents(ctx context.Context, body io.Reader, events chan<- event) error {
	lines := bufio.NewReaderSize(body, 4<<10)
	var e event
	for {
		line, err := lines.ReadSlice('\n')
		e.bytes = append(e.bytes, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.bytes) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if len(e.bytes) > maxEventBytes {
			return errGarbled
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 || err != nil {
			continue
		}
		e.id = eventID(e.bytes)
		select {
		case events <- e:
		case <-ctx.Done():
			return ctx.Err()
		}
		e = event{}
	}
}

// eventID returns the id field of an event, empty when it has none.
func eventID(text []byte) string {
	for line := range bytes.Lines(text) {
		if rest, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
