package callerhttp

import (
	"net/http"
	"strconv"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// bufferedSink holds an answer until its end, because the status of the response is known
// only then.
type bufferedSink struct {
	memory       *reservation
	body         []byte
	outputTokens uint64 // generated so far
}

// Chunk implements relay.Sink.
func (s *bufferedSink) Chunk(_ relay.Origin, _ uint64, chunk *wire.Chunk) error {
	if len(s.body)+len(chunk.Data) > maxBodyBytes {
		return fault.New(fault.EndpointFailed, "the answer is longer than %d bytes", maxBodyBytes)
	}
	if err := s.memory.grow(len(chunk.Data)); err != nil {
		return fault.Wrap(err, fault.EndpointFailed, "the memory for request bodies and answers is used up")
	}
	s.body = append(s.body, chunk.Data...)
	s.outputTokens += uint64(chunk.Tokens)
	return nil
}

// Reset implements relay.Sink.
func (s *bufferedSink) Reset() bool {
	s.memory.shrink(len(s.body))
	s.body, s.outputTokens = nil, 0
	return true
}

// writeOutcome sends a complete answer as the response. endpoint may be empty.
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
