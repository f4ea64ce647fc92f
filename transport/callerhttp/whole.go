package callerhttp

import (
	"net/http"
	"strconv"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// wholeSink keeps an answer until its end, so that its status can be honest.
type wholeSink struct {
	hold *reservation
	body []byte
	used uint64 // tokens generated
}

// Chunk implements relay.Sink.
func (s *wholeSink) Chunk(_ relay.Origin, _ uint64, chunk *wire.Chunk) error {
	if len(s.body)+len(chunk.Data) > maxBodyBytes {
		return fault.New(fault.EndpointFailed, "the answer is longer than %d bytes", maxBodyBytes)
	}
	if err := s.hold.grow(len(chunk.Data)); err != nil {
		return fault.Wrap(err, fault.EndpointFailed, "there is no room for the answer")
	}
	s.body = append(s.body, chunk.Data...)
	s.used += uint64(chunk.Tokens)
	return nil
}

// Reset implements relay.Sink.
func (s *wholeSink) Reset() bool {
	s.hold.shrink(len(s.body))
	s.body, s.used = nil, 0
	return true
}

// writeOutcome answers with a whole answer.
func writeOutcome(w http.ResponseWriter, outcome *wire.Outcome, endpoint string) {
	header := w.Header()
	if endpoint != "" {
		header.Set("X-Endpoint", endpoint)
	}
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	if outcome.Truncated {
		header.Set("X-Outcome-Truncated", "true")
	}
	status := int(outcome.Status)
	if status < 100 || status > 999 {
		status = http.StatusOK
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(outcome.Body)
}
