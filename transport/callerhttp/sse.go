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
	eventEnd  = []byte("\n\n")
	idPrefix  = []byte("id:")
	doneEvent = []byte("data: [DONE]")
)

// streamSink relays server-sent events. Each gets as id the sequence of the
// chunk that completed it. The closing event is held back until the answer is
// known to be whole. An answer of another type is kept and sent at its end.
type streamSink struct {
	w       http.ResponseWriter
	flush   func() error
	tokens  *ResumeTokens
	hold    *reservation
	onFirst func()

	started bool   // part has gone to the caller
	plain   []byte // an answer that is no event stream
	isPlain bool
	partial []byte // an event without its end
	closing []byte // the event that closes the stream
	used    uint64 // tokens generated
	firstAt time.Time
}

// Chunk implements relay.Sink.
func (s *streamSink) Chunk(origin relay.Origin, sequence uint64, chunk *wire.Chunk) error {
	s.used += uint64(chunk.Tokens)
	if !s.started && !s.isPlain {
		s.isPlain = !looksLikeEvents(chunk.Data)
	}
	if s.isPlain {
		if err := s.hold.grow(len(chunk.Data)); err != nil {
			return fault.Wrap(err, fault.EndpointFailed, "there is no room for the answer")
		}
		s.plain = append(s.plain, chunk.Data...)
		return nil
	}
	s.begin(origin)
	return s.events(sequence, chunk.Data)
}

func looksLikeEvents(data []byte) bool {
	trimmed := bytes.TrimLeft(data, "\r\n")
	for _, prefix := range []string{"data:", "id:", "event:", "retry:", ":"} {
		if bytes.HasPrefix(trimmed, []byte(prefix)) {
			return true
		}
	}
	return false
}

func (s *streamSink) begin(origin relay.Origin) {
	if s.started {
		return
	}
	s.started = true
	s.firstAt = time.Now()
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Endpoint", origin.Endpoint)
	header.Set("X-Resume-Token", s.tokens.Sign(origin))
	s.w.WriteHeader(http.StatusOK)
	if s.onFirst != nil {
		s.onFirst()
	}
}

// betweenTokens is the mean time from one generated token to the next, 0 for an
// answer of less than two.
func (s *streamSink) betweenTokens() time.Duration {
	if !s.started || s.used < 2 {
		return 0
	}
	return time.Since(s.firstAt) / time.Duration(s.used-1)
}

func (s *streamSink) events(sequence uint64, data []byte) error {
	s.partial = append(s.partial, bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))...)
	if len(s.partial) > maxBodyBytes {
		return fault.New(fault.EndpointFailed, "an event of the answer is too long")
	}
	var out []byte
	for {
		event, rest, whole := bytes.Cut(s.partial, eventEnd)
		if !whole {
			break
		}
		s.partial = rest
		out = s.appendEvent(out, sequence, event)
	}
	s.partial = append([]byte(nil), s.partial...)
	return s.write(out)
}

func (s *streamSink) appendEvent(out []byte, sequence uint64, event []byte) []byte {
	event = withoutID(event)
	if len(event) == 0 {
		return out
	}
	text := fmt.Appendf(nil, "id: %d\n%s\n\n", sequence, event)
	if bytes.Equal(event, doneEvent) {
		s.closing = text
		return out
	}
	return append(out, text...)
}

func withoutID(event []byte) []byte {
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
		return fault.Wrap(err, fault.Cancelled, "the caller has gone")
	}
	if err := s.flush(); err != nil {
		return fault.Wrap(err, fault.Cancelled, "the caller has gone")
	}
	return nil
}

// Reset implements relay.Sink.
func (s *streamSink) Reset() bool {
	if s.started {
		return false
	}
	s.hold.shrink(len(s.plain))
	s.plain, s.isPlain = nil, false
	return true
}

// finish sends what closes the answer.
func (s *streamSink) finish(end *wire.End, origin relay.Origin) {
	if s.started && len(s.partial) == 0 {
		_ = s.write(s.closing)
		return
	}
	if s.started {
		s.fail(fault.New(fault.EndpointFailed, "the answer ends within an event"))
		return
	}
	writeOutcome(s.w, &wire.Outcome{Status: end.Status, ContentType: end.ContentType, Body: s.plain}, origin.Endpoint)
}

// fail ends the answer with an error: an event if part of it has gone out.
func (s *streamSink) fail(err error) {
	if !s.started {
		writeFault(s.w, err, wholeRequest)
		return
	}
	_ = s.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", encodeFault(typed(err))))
}
