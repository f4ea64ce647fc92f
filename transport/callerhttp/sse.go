package callerhttp

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

var (
	eventSeparator = []byte("\n\n")
	idPrefix       = []byte("id:")
	doneEvent      = []byte("data: [DONE]")
)

// streamSink sends an answer to the caller as server-sent events. The id of an event is
// the sequence number of the chunk that completed it, so all events that one chunk completes
// have the same id; they are written to the caller together. The final event is held back until
// the answer is known to be complete. An answer that is not an event stream is buffered
// and sent at its end.
type streamSink struct {
	w            http.ResponseWriter
	flush        func() error
	resumeTokens *ResumeTokens
	memory       *reservation
	onFirstEvent func()

	started      bool   // the response header has been sent
	buffer       []byte // the answer so far, if it is not an event stream
	buffering    bool   // the answer is not an event stream
	partialEvent []byte // received bytes of an incomplete event
	finalEvent   []byte // the event that ends the stream
	outputTokens uint64 // generated so far, including by attempts that Reset discarded
	firstEventAt time.Time
}

// Chunk implements relay.Sink. An error of the kind Cancelled means that the caller has
// disconnected, one of the kind EndpointFailed that an event is too long or that the budget
// is used up. The Overloaded error of the budget is replaced, as its kind would claim that
// nothing ran.
func (s *streamSink) Chunk(origin relay.Origin, sequence uint64, chunk *wire.Chunk) error {
	s.outputTokens += uint64(chunk.Tokens)
	if !s.started && !s.buffering {
		s.buffering = !isEventStream(chunk.Data)
	}
	if s.buffering {
		if err := s.memory.grow(len(chunk.Data)); err != nil {
			return fault.Wrap(err, fault.EndpointFailed, "the memory for request bodies and answers is used up")
		}
		s.buffer = append(s.buffer, chunk.Data...)
		return nil
	}
	s.writeHeader(origin)
	return s.relayEvents(sequence, chunk.Data)
}

// isEventStream reports whether data begins with a line of a server-sent event.
func isEventStream(data []byte) bool {
	trimmed := bytes.TrimLeft(data, "\r\n")
	for _, prefix := range []string{"data:", "id:", "event:", "retry:", ":"} {
		if bytes.HasPrefix(trimmed, []byte(prefix)) {
			return true
		}
	}
	return false
}

func (s *streamSink) writeHeader(origin relay.Origin) {
	if s.started {
		return
	}
	s.started = true
	s.firstEventAt = time.Now()
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Endpoint", origin.Endpoint)
	header.Set("X-Resume-Token", s.resumeTokens.Sign(origin))
	s.w.WriteHeader(http.StatusOK)
	if s.onFirstEvent != nil {
		s.onFirstEvent()
	}
}

// meanTokenInterval returns the mean time between two generated tokens, 0 for an answer
// of fewer than two.
func (s *streamSink) meanTokenInterval() time.Duration {
	if !s.started || s.outputTokens < 2 {
		return 0
	}
	return time.Since(s.firstEventAt) / time.Duration(s.outputTokens-1)
}

// relayEvents sends the events that data completes, and keeps the rest.
func (s *streamSink) relayEvents(sequence uint64, data []byte) error {
	s.partialEvent = append(s.partialEvent, bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))...)
	if len(s.partialEvent) > maxBodyBytes {
		return fault.New(fault.EndpointFailed, "an event of the answer is longer than the largest body allowed")
	}
	var out []byte
	for {
		event, rest, complete := bytes.Cut(s.partialEvent, eventSeparator)
		if !complete {
			break
		}
		s.partialEvent = rest
		out = s.appendEvent(out, sequence, event)
	}
	s.partialEvent = append([]byte(nil), s.partialEvent...)
	return s.write(out)
}

// appendEvent appends an event with its id to out. It stores the final event instead.
func (s *streamSink) appendEvent(out []byte, sequence uint64, event []byte) []byte {
	event = stripID(event)
	if len(event) == 0 {
		return out
	}
	text := fmt.Appendf(nil, "id: %d\n%s\n\n", sequence, event)
	if bytes.Equal(event, doneEvent) {
		s.finalEvent = text
		return out
	}
	return append(out, text...)
}

// stripID returns the event without its id lines and empty lines.
func stripID(event []byte) []byte {
	var kept [][]byte
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && !bytes.HasPrefix(line, idPrefix) {
			kept = append(kept, line)
		}
	}
	return bytes.Join(kept, []byte("\n"))
}

func (s *streamSink) write(out []byte) error {
	if len(out) == 0 {
		return nil
	}
	if _, err := s.w.Write(out); err != nil {
		return fault.Wrap(err, fault.Cancelled, "the caller has disconnected")
	}
	if err := s.flush(); err != nil {
		return fault.Wrap(err, fault.Cancelled, "the caller has disconnected")
	}
	return nil
}

// Reset implements relay.Sink.
func (s *streamSink) Reset() bool {
	if s.started {
		return false
	}
	s.memory.shrink(len(s.buffer))
	s.buffer, s.buffering = nil, false
	return true
}

// finish sends the final event, or the buffered answer, or an error if the answer ended
// within an event.
func (s *streamSink) finish(end *wire.End, origin relay.Origin) {
	if s.started && len(s.partialEvent) == 0 {
		_ = s.write(s.finalEvent)
		return
	}
	if s.started {
		s.fail(fault.New(fault.EndpointFailed, "the answer ended within an event"))
		return
	}
	writeOutcome(s.w, &wire.Outcome{Status: end.Status, ContentType: end.ContentType, Body: s.buffer}, origin.Endpoint)
}

// fail ends the answer with an error: an error event if the response has started, an error
// response otherwise.
func (s *streamSink) fail(err error) {
	if !s.started {
		writeFault(s.w, err, requestScope)
		return
	}
	_ = s.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", encodeFault(toFault(err))))
}
