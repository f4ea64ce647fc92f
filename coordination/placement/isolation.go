package placement

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
)

// maxAssumedDivisor: an isolated entry assumes that the others take at most
// slots/maxAssumedDivisor slots of each endpoint. If it assumed all slots, it would refuse
// every request, though the others may be idle.
const maxAssumedDivisor = 2

// heardEntries counts the other entries that publish all their work to this one.
type heardEntries struct {
	known int
	heard int // from which updates arrive at present
}

// isolated reports whether this entry hears from less than half of the others. If only some
// are unheard, they are more likely to be down than this entry is to be partitioned.
func (h heardEntries) isolated() bool { return h.known > 1 && 2*h.heard < h.known }

// SetHeardEntries sets how many other entries publish all their work to this one, and from
// how many of them it hears at present.
func (s *Scheduler) SetHeardEntries(known, heard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.entries
	s.entries = heardEntries{known: known, heard: heard}
	if before.isolated() != s.entries.isolated() {
		s.logger.Warn().Bool("isolated", s.entries.isolated()).Int("known", known).Int("heard", heard).
			Msg("The isolation of this entry from the other entries has changed.")
	}
}

// assumeUnheardWork adds to the load of the candidates, in an isolated entry, the work of the
// entries that it doesn't hear from. Each is assumed to send as much as the mean entry whose
// work is known. Endpoints known from load reports keep their estimates.
func (s *Scheduler) assumeUnheardWork(candidates []*candidate, req *Request, now time.Time) {
	if !s.entries.isolated() {
		return
	}
	known, endpoints := 0, 0
	for _, c := range candidates {
		if !c.isReported() {
			known += c.answers
			endpoints++
		}
	}
	if known == 0 {
		return
	}
	perEntry := float64(known) / float64(s.entries.heard+1)
	assumed := perEntry * float64(s.entries.known-s.entries.heard) / float64(endpoints)
	for _, c := range candidates {
		if !c.isReported() {
			limit := float64(c.statedSlots() / maxAssumedDivisor)
			c.addAnswers(min(assumed, limit), req, now)
		}
	}
}

// addAnswers adds answers that are being decoded, of prompts of mean length.
func (c *candidate) addAnswers(n float64, req *Request, now time.Time) {
	c.load += n
	added := int(math.Round(c.load)) - c.answers
	if added <= 0 {
		return
	}
	c.answers += added
	engine := req.Service.Engine
	if engine == nil {
		return
	}
	tokens := added * int(engine.MeanPromptTokens)
	c.contextTokens += tokens
	c.batch = enginemodel.DecodeBatch{Count: c.batch.Count + added, ContextTokens: c.batch.ContextTokens + tokens}
	c.state.queue.Forecast(engine, c.batch, nil, &c.forecast)
}
