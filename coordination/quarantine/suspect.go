package quarantine

import (
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
	// Endpoints that ended under requests sent before the first one ended prove a part too
	// if there are manyEnds of them over at least manyEndsSpan: endpoints that end at one
	// moment have a common cause outside their requests.
	manyEnds     = 5
	manyEndsSpan = time.Second
	// maxEnds bounds the ends that are kept for a part.
	maxEnds = 8
	// maxTrialsAfterProof is the number of endpoints that may end under trials of a
	// quarantined part without its companions. Then it is quarantined alone.
	maxTrialsAfterProof = 2
	// maxIDBytes bounds the ID of a part in logs and in the state.
	maxIDBytes = 64
)

// report tells that an endpoint ended under a request, before the answer went on.
type report struct {
	endpoint uint64
	parts    []uint64 // shared by the prompt with others, sorted
	at       monotonic.Time
	sentAt   monotonic.Time // of the request
	own      bool           // of a request of this entry
	holders  int            // suspects that hold it
}

// suspect is a part under which endpoints have ended since an answer last went on with it.
type suspect struct {
	service string    // empty until an endpoint ended under a request of this entry
	id      string    // of the part, shortened; empty like service
	reports []*report // by time
	// wasSound is set if an answer is known to have gone on before the first end.
	wasSound bool
	// quarantined is set once the part is proved, alone or together with its companions.
	quarantined bool
	// companions are the other parts that were in every prompt under which an endpoint
	// ended. Either may be the cause.
	companions []uint64
	// trials counts the endpoints that ended after the proof.
	trials int
}

// add adds a report in the order of time. It returns false if the report is known or there
// is no room for it.
func (s *suspect) add(r *report) bool {
	if len(s.reports) >= maxEnds || slices.Contains(s.reports, r) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.reports, r.at, func(known *report, at monotonic.Time) int { return int(known.at - at) })
	s.reports = slices.Insert(s.reports, at, r)
	r.holders++
	return true
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
func (s *suspect) ends() int {
	n := 0
	var last *report
	for _, r := range s.reports {
		if last == nil || r.endpoint != last.endpoint && r.sentAt > last.at {
			n++
			last = r
		}
	}
	return n
}

// isProved reports whether the ends can't be chance.
func (s *suspect) isProved() bool {
	if s.ends() >= endsForProof {
		return true
	}
	endpoints := make(map[uint64]bool)
	for _, r := range s.reports {
		endpoints[r.endpoint] = true
	}
	return len(endpoints) >= manyEnds && s.reports[len(s.reports)-1].at.Sub(s.reports[0].at) >= manyEndsSpan
}

// inAllReports returns the parts other than the given one that are in all reports.
func (s *suspect) inAllReports(part uint64) []uint64 {
	common := slices.Clone(s.reports[0].parts)
	for _, r := range s.reports[1:] {
		common = slices.DeleteFunc(common, func(p uint64) bool { return !contains(r.parts, p) })
	}
	return slices.DeleteFunc(common, func(p uint64) bool { return p == part })
}

// contains reports whether a sorted list holds a part.
func contains(sorted []uint64, part uint64) bool {
	_, found := slices.BinarySearch(sorted, part)
	return found
}

// containsAll reports whether a sorted list holds all of the parts.
func containsAll(sorted, parts []uint64) bool {
	for _, p := range parts {
		if !contains(sorted, p) {
			return false
		}
	}
	return true
}
