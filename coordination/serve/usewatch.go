package serve

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

const (
	// minReservationTTL is the shortest time for which memory is reserved, whatever the
	// bounds are: a shorter one would need a renewal each 400 ms or more often.
	minReservationTTL = time.Second
	// reservationMargin is left between the latest end of a reservation and its bound,
	// for timers that fire late.
	reservationMargin = 500 * time.Millisecond
	// releaseMargin is the same for the bound of a release. It is smaller, as no decision
	// is due before a reservation expires.
	releaseMargin = 100 * time.Millisecond
	// minUnusedDivisor: reservations are kept for at least that part of the bound, also
	// if it is so short that they may then outlive it. An attempt needs some time to begin,
	// and without the least part none with reservations could be served.
	minUnusedDivisor = 4
	// reportTimeout bounds the calls for the reports of all endpoints of a prompt.
	reportTimeout = 400 * time.Millisecond
	// reportAge is how old what a report says may be. A use that began since then shows
	// in a second report.
	reportAge = 800 * time.Millisecond
	// gapAskInterval is the time after which reports that nobody sent are asked for again
	// after a suspension: the connections of this host may have to be made anew.
	gapAskInterval = reportTimeout
	// maxGapAsks is the number of rounds of reports after a suspension. Each asks all
	// endpoints of the prompt.
	maxGapAsks = 2
)

// boundsReservations reports whether reservations that no request uses are ended.
func (s *Settings) boundsReservations() bool { return s.ReservedUnusedFor > 0 }

// reservationTTL is how long a reservation lasts without renewal. One that is renewed in
// the moment in which its request ends is over within ReleasedWithin.
func (s *Settings) reservationTTL() time.Duration {
	if s.ReleasedWithin == 0 {
		return reservationTTL
	}
	return max(minReservationTTL, min(reservationTTL, s.ReleasedWithin-reserveTimeout-releaseMargin))
}

// useStep is what is to be done next about the reservations of an attempt.
type useStep int

const (
	useWait   useStep = iota
	useRenew          // renew all
	useAskOne         // ask one endpoint for its report
	useAskAll         // ask all endpoints for their reports
	useEnd            // renew them no longer
)

// useReport is what the endpoints that were asked report together.
type useReport int

const (
	reportNone   useReport = iota // no endpoint sent a report
	reportUnused                  // none of the reports names a reservation as used
	reportUsed
)

// useWatch decides how long the reservations of an attempt are renewed. Without evidence
// that a request uses them they end so early that they are over within the bound, also if
// no endpoint receives the release. Evidence is the first event of the answer, or a report
// that names the reservation as used. It does no I/O.
type useWatch struct {
	ttl       time.Duration
	interval  time.Duration  // between two renewals
	endAfter  time.Duration  // since madeAt, without evidence of use; 0 for no bound
	madeAt    monotonic.Time // before the first calls
	renewedAt monotonic.Time // before the latest calls
	asked     int            // 1 after the report of one endpoint was asked for because of the bound, 2 after those of all
	gapAsks   int            // rounds of reports after a gap longer than ttl
	gapAskAt  monotonic.Time // of the latest of them
	latest    useReport      // what the latest round said
	used      bool           // there was evidence of use
	expired   bool           // ended because of such a gap
}

func newUseWatch(settings *Settings, now monotonic.Time) useWatch {
	w := useWatch{ttl: settings.reservationTTL(), madeAt: now, renewedAt: now}
	w.interval = w.ttl * renewInterval / reservationTTL
	if bound := settings.ReservedUnusedFor; bound > 0 {
		w.endAfter = max(bound-w.ttl-reserveTimeout-reservationMargin, bound/minUnusedDivisor)
	}
	return w
}

// The ages at which reports are asked for. One of one endpoint is enough in most cases.
func (w *useWatch) askOneAfter() time.Duration { return w.endAfter - reportTimeout - reportAge }
func (w *useWatch) askAllAfter() time.Duration { return w.endAfter - reportTimeout }

// reservedStart is how soon a prompt must begin so that the first reports show its
// reservations as used; 0 for no bound, also if the bound is too short for a report.
func (s *Settings) reservedStart() time.Duration {
	w := newUseWatch(s, 0)
	if w.endAfter == 0 {
		return 0
	}
	return max(0, w.askOneAfter())
}

// next returns what is to be done now. begun tells whether the answer has begun.
func (w *useWatch) next(now monotonic.Time, begun bool) useStep {
	w.used = w.used || begun
	age := now.Sub(w.madeAt)
	switch {
	case w.hasGap(now):
		return w.nextAfterGap(now)
	case w.isDoubtful() && w.asked < 2 && age >= w.askAllAfter():
		w.asked = 2 // also if the first time was missed, as this process did not run
		return useAskAll
	case w.isDoubtful() && age >= w.endAfter:
		return useEnd
	case w.isDoubtful() && w.asked == 0 && age >= w.askOneAfter():
		w.asked = 1
		return useAskOne
	case now.Sub(w.renewedAt) >= w.interval:
		return useRenew
	}
	return useWait
}

// isDoubtful reports whether the bound applies and nothing has shown a use so far.
func (w *useWatch) isDoubtful() bool { return w.endAfter > 0 && !w.used }

// hasGap reports whether the reservations have expired because nothing was renewed in
// time, as after a suspension of this host. A renewal would then reserve memory anew.
func (w *useWatch) hasGap(now monotonic.Time) bool {
	return w.endAfter > 0 && now.Sub(w.renewedAt) >= w.ttl
}

// nextAfterGap renews the reservations only if a report still names one as used. A round
// without any report tells nothing and is repeated.
func (w *useWatch) nextAfterGap(now monotonic.Time) useStep {
	switch {
	case w.gapAsks == 0 || w.mayAskAgain() && now >= w.gapAskAt.Add(gapAskInterval):
		w.gapAsks++
		w.gapAskAt = now
		return useAskAll
	case w.mayAskAgain():
		return useWait
	case w.latest == reportUsed:
		w.gapAsks = 0
		return useRenew
	}
	w.expired = true
	return useEnd
}

// mayAskAgain reports whether the latest round after a gap is to be repeated.
func (w *useWatch) mayAskAgain() bool {
	return w.gapAsks > 0 && w.gapAsks < maxGapAsks && w.latest == reportNone
}

// untilNext returns the time until next may return something else than useWait.
func (w *useWatch) untilNext(now monotonic.Time) time.Duration {
	if w.hasGap(now) && w.mayAskAgain() {
		return max(0, w.gapAskAt.Add(gapAskInterval).Sub(now))
	}
	at := w.renewedAt.Add(w.interval)
	if w.isDoubtful() {
		for i, after := range []time.Duration{w.askOneAfter(), w.askAllAfter(), w.endAfter} {
			if i >= w.asked {
				at = min(at, w.madeAt.Add(after))
				break
			}
		}
	}
	return max(0, at.Sub(now))
}

// recordReport records what a round of reports says.
func (w *useWatch) recordReport(r useReport) {
	w.latest = r
	w.used = w.used || r == reportUsed
}
