package quarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

const (
	// endsForProof is the number of endpoints that must end one after the other, each under
	// a request that was sent after the previous one had ended, until a part is
	// quarantined. With two, an endpoint that ends by chance under a part's trial would
	// quarantine it.
	endsForProof = 3
	// Where only some endpoints ended one after the other, mixedEnds of them prove a part,
	// and endsForProof a request.
	mixedEnds = 4
	// Endpoints that ended under requests sent before the first one ended prove a part too
	// if there are manyEnds of them over at least manyEndsSpan: endpoints that end at one
	// moment have a common cause outside their requests.
	manyEnds     = 5
	manyEndsSpan = time.Second
	// maxEnds bounds the ends that are kept for a part.
	maxEnds = 16
	// A quarantined part is tried again by requests without another quarantined part, as
	// the ends may be the fault of a part that was always beside it. The quarantine is
	// final once endpoints have ended under maxProbes such requests whose other parts
	// are known to be sound, or under maxAnyProbes of any such requests. Both are one less
	// if many endpoints had ended before.
	maxProbes    = 2
	maxAnyProbes = 3
	// One probe whose other parts are known to be sound suffices if the ends, with its own,
	// came under requestsForSingleProbe different requests: no single request explains them.
	requestsForSingleProbe = 3
	// maxIDBytes bounds the ID of a part in logs and in the state.
	maxIDBytes = 64
)

// report tells that an endpoint ended under a request, before the answer went on.
type report struct {
	endpoint uint64
	parts    []uint64 // shared by the prompt with others, sorted
	request  uint64   // key of the request, 0 if unknown
	at       monotonic.Time
	sentAt   monotonic.Time // of the request
	probed   uint64         // the quarantined part that the request tried, 0 if none
	alone    bool           // the other parts of the probe are known to be sound
	own      bool           // of a request of this entry
	holders  int            // suspects that hold it
}

// hash identifies a report, whoever tells it. That of a known request is told with fewer
// parts once some are cleared.
func (r *report) hash() uint64 {
	hash := fnv.New64a()
	text := binary.BigEndian.AppendUint64(nil, r.endpoint)
	identity := r.parts
	if r.request != 0 {
		identity = []uint64{r.request}
	}
	for _, p := range identity {
		text = binary.BigEndian.AppendUint64(text, p)
	}
	_, _ = hash.Write(text) // a hash write never fails
	return hash.Sum64()
}

// keys returns the keys of the parts and of the request, the latter last.
func (r *report) keys() []uint64 {
	if r.request == 0 {
		return r.parts
	}
	return append(slices.Clip(r.parts), r.request)
}

// concerns reports whether the report is about a part or request.
func (r *report) concerns(key uint64) bool {
	return key == r.request && key != 0 || contains(r.parts, key)
}

// suspect is a part or request under which endpoints have ended since an answer last went
// on with it.
type suspect struct {
	// isRequest is set for a request. It needs no probes: whoever sends its content sends
	// all that the endpoints ended under.
	isRequest bool
	service   string // empty until an endpoint ended under a request of this entry
	id        string // of the part, shortened; empty like service
	// reports holds one report of each endpoint, by time: that of a probe, else that of
	// the request that was sent last.
	reports []*report
	// wasSound is set if an answer is known to have gone on before the first end.
	wasSound bool
	// quarantined is set once the part is proved.
	quarantined   bool
	quarantinedAt monotonic.Time // as far as this entry knows; 0 before
	// final is set once the quarantine ends by an operator's hand only.
	final bool
}

// needsLease reports whether a request with the part needs a lease. A single end may be
// chance where answers went on before.
func (s *suspect) needsLease() bool { return s.quarantined || !s.wasSound || s.ends() > 1 }

// add adds a report in the order of time. It returns false if the report changes nothing or
// there is no room for it.
func (s *suspect) add(r *report) bool {
	known := slices.IndexFunc(s.reports, func(other *report) bool { return other.endpoint == r.endpoint })
	if known >= 0 {
		if s.reports[known].probed != 0 || r.probed == 0 && s.reports[known].sentAt >= r.sentAt {
			return false
		}
		s.reports[known].holders--
		s.reports = slices.Delete(s.reports, known, known+1)
	}
	if len(s.reports) >= maxEnds {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.reports, r.at, func(other *report, at monotonic.Time) int { return cmp.Compare(other.at, at) })
	s.reports = slices.Insert(s.reports, at, r)
	r.holders++
	return true
}

// holds reports whether the suspect has a report of the end of an endpoint.
func (s *suspect) holds(endpoint uint64) bool {
	return slices.ContainsFunc(s.reports, func(r *report) bool { return r.endpoint == endpoint })
}

// drop drops the reports that unwanted selects.
func (s *suspect) drop(unwanted func(*report) bool) {
	s.reports = slices.DeleteFunc(s.reports, func(r *report) bool {
		if !unwanted(r) {
			return false
		}
		r.holders--
		return true
	})
}

// ends returns the number of endpoints that ended one after the other: each under a
// request that was sent after the previous one had ended.
func (s *suspect) ends() int { return endsAfter(s.reports, 0) }

// endsAfter returns the number of ends one after the other, the first of them under a
// request that was sent after a time.
func endsAfter(reports []*report, at monotonic.Time) int {
	n := 0
	for _, r := range reports {
		if r.sentAt > at {
			n++
			at = r.at
		}
	}
	return n
}

// isProved reports whether the ends can't be chance; mixed is the number of ends that
// suffices if only some came one after the other.
func isProved(reports []*report, mixed int) bool {
	if oneByOne := endsAfter(reports, 0); oneByOne >= endsForProof || oneByOne > 1 && len(reports) >= mixed {
		return true
	}
	return len(reports) >= manyEnds && reports[len(reports)-1].at.Sub(reports[0].at) >= manyEndsSpan
}

// updateQuarantine sets the quarantine by the reports, whatever the order in which they came. It
// reports whether that has changed it.
func (s *suspect) updateQuarantine(part uint64) bool {
	wasQuarantined, wasFinal := s.quarantined, s.final
	mixed := mixedEnds
	if s.isRequest {
		mixed = endsForProof
	}
	for i := range s.reports {
		if isProved(s.reports[:i+1], mixed) {
			s.quarantined = true
			break
		}
	}
	probes, alone := s.countProbes(part)
	if len(s.reports)-probes >= manyEnds {
		probes, alone = probes+1, alone+1
	}
	if countRequests(s.reports) >= requestsForSingleProbe && alone > 0 {
		alone++
	}
	s.final = s.final || alone >= maxProbes || probes >= maxAnyProbes || s.isRequest && s.quarantined
	return s.quarantined != wasQuarantined || s.final != wasFinal
}

// countProbes returns the number of probes of a part under which endpoints ended, and how many
// of them had other parts that are known to be sound.
func (s *suspect) countProbes(part uint64) (probes, alone int) {
	for _, r := range s.reports {
		if r.probed != part {
			continue
		}
		probes++
		if r.alone {
			alone++
		}
	}
	return probes, alone
}

// countRequests returns the number of different known requests.
func countRequests(reports []*report) int {
	requests := make(map[uint64]bool)
	for _, r := range reports {
		if r.request != 0 {
			requests[r.request] = true
		}
	}
	return len(requests)
}

// contains reports whether a sorted list holds a part.
func contains(sorted []uint64, part uint64) bool {
	_, found := slices.BinarySearch(sorted, part)
	return found
}
