package serve

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

var (
	// errReservationUnused marks an attempt that was abandoned because nothing showed that
	// a request uses the memory that was reserved for it.
	errReservationUnused = errors.New("no request has used the memory that was reserved for the prompt")
	// errReservationExpired marks an attempt that was abandoned because its reservations
	// had expired, as this process did not run in the meantime.
	errReservationExpired = errors.New("the memory that was reserved for the prompt was not renewed in time")
)

// The outcomes of the reservations of one attempt, as they are logged and counted.
const (
	reservationUsed     = "used"            // there was evidence that a request used them
	reservationReleased = "released_unused" // ended without such evidence
	reservationExpired  = "expired"         // not renewed in time
	reservationRefused  = "refused"         // an endpoint did not grant its part
)

// keep renews the reservations until ctx ends or their watch ends them. In the second case
// it abandons an attempt whose answer has not begun.
func (s *reservations) keep(ctx context.Context, abandon context.CancelCauseFunc) {
	defer close(s.done)
	now := s.run.server.now
	for wait.For(ctx, s.watch.untilNext(now())) {
		switch s.watch.next(now(), s.plan.Handle.HasStarted()) {
		case useRenew:
			s.renew(ctx)
		case useAskOne:
			s.ask(ctx, s.parts[:1])
		case useAskAll:
			s.ask(ctx, s.parts)
		case useEnd:
			if !s.plan.Handle.HasStarted() {
				abandon(s.abandonment())
			}
			return
		}
	}
}

// abandonment returns the error of an attempt whose reservations have ended before it.
func (s *reservations) abandonment() error {
	if s.watch.expired {
		return errReservationExpired
	}
	return fmt.Errorf("%w for %v", errReservationUnused, s.age().Round(time.Millisecond))
}

func (s *reservations) age() time.Duration { return s.run.server.now().Sub(s.watch.madeAt) }

// isAbandoned reports whether an error is that of an attempt whose reservations have ended
// before it.
func isAbandoned(err error) bool {
	return errors.Is(err, errReservationUnused) || errors.Is(err, errReservationExpired)
}

// ask asks endpoints in parallel whether they report the reservation as used.
func (s *reservations) ask(ctx context.Context, parts []reservation) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var work sync.WaitGroup
	found := make([]reportedTicket, len(parts))
	for i, h := range parts {
		work.Go(func() { found[i] = s.askOne(ctx, h) })
	}
	work.Wait()
	counts := make(map[reportedTicket]int)
	for _, f := range found {
		counts[f]++
	}
	s.watch.recordReport(useOf(counts, len(parts)))
	s.run.server.logger.Info().Str("request", s.run.request.ID).Str("ticket", s.ticket).Dur("age", s.age()).
		Int("used", counts[ticketUsed]).Int("held", counts[ticketHeld]).Int("waiting", counts[ticketWaiting]).
		Int("missing", counts[ticketMissing]).Int("failed", counts[reportFailed]).
		Msg("Endpoints were asked whether a reservation is used.")
}

// reportedTicket is what the report of an endpoint says of a reservation.
type reportedTicket int

const (
	reportFailed reportedTicket = iota // the endpoint sent no report
	ticketMissing
	ticketWaiting
	ticketHeld
	ticketUsed
)

// useOf sums up what a number of endpoints report.
func useOf(counts map[reportedTicket]int, endpoints int) useReport {
	switch {
	case counts[ticketUsed] > 0:
		return reportUsed
	case counts[reportFailed] == endpoints:
		return reportNone
	}
	return reportUnused
}

// askOne asks one endpoint for its report.
func (s *reservations) askOne(ctx context.Context, h reservation) reportedTicket {
	tickets, err := s.run.server.upstream.Tickets(ctx, h.endpoint)
	if err != nil {
		s.run.server.logger.RateLimitedWarn("report").Str("endpoint", h.endpoint.ID).Err(err).Msg("The report of an endpoint could not be read.")
		return reportFailed
	}
	for _, t := range tickets {
		if t.ID != s.ticket {
			continue
		}
		switch t.State {
		case TicketUsed:
			return ticketUsed
		case TicketHeld:
			return ticketHeld
		}
		return ticketWaiting
	}
	return ticketMissing
}

// recordRefusals records which endpoints did not grant their part, so that the next plan
// leaves them out.
func (s *reservations) recordRefusals(errs []error) {
	for i, err := range errs {
		if err != nil {
			s.run.server.refusedMemory.record(s.parts[i].endpoint.Key, s.run.server.now())
		}
	}
}

// outcome returns the outcome of reservations that were made, after done is closed.
func (s *reservations) outcome() string {
	switch {
	case s.watch.used || s.plan.Handle.HasStarted():
		return reservationUsed
	case s.watch.expired:
		return reservationExpired
	}
	return reservationReleased
}

// recordOutcome counts and logs the outcome of the reservations of an attempt.
func (s *reservations) recordOutcome(outcome string) {
	tokens := 0
	for _, h := range s.parts {
		tokens += h.tokens
	}
	s.run.server.metrics.Count("serve_reservations", metrics.Labels{Class: outcome})
	s.run.server.logger.Info().Str("request", s.run.request.ID).Str("ticket", s.ticket).Str("outcome", outcome).
		Int("endpoints", len(s.parts)).Int("tokens", tokens).Dur("age", s.age()).Bool("sent", s.sent).
		Int("asked", s.watch.asked).Msg("The reservations of an attempt have ended.")
}
