package serve

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
)

const (
	// reservationHold is how long a reservation lasts without being renewed, and
	// so how long it outlives an entry that dies.
	reservationHold  = 4 * time.Second
	reservationRenew = 1500 * time.Millisecond
	reserveTimeout   = 400 * time.Millisecond
	releaseTries     = 3
	releasePause     = 300 * time.Millisecond
)

// errNoMemory marks a plan whose reservations did not all come about. Nothing
// was sent to an endpoint to run.
var errNoMemory = errors.New("the memory for the prompt was not to be had")

// reservations are the memory that one attempt holds at several endpoints. All
// are taken at once, without waiting, or none: two prompts can't wait for each
// other.
type reservations struct {
	run    *run
	ticket string
	held   []reservation
	stop   context.CancelFunc
	done   chan struct{}
}

type reservation struct {
	endpoint *directory.Endpoint
	tokens   int
}

// reserve takes the reservations of a plan, nil when it needs none.
func (r *run) reserve(ctx context.Context, plan *placement.Plan) (*reservations, error) {
	if plan.HeldTokens == nil {
		return nil, nil
	}
	s := &reservations{run: r, ticket: rand.Text(), done: make(chan struct{})}
	for i, tokens := range plan.HeldTokens {
		if tokens > 0 {
			s.held = append(s.held, reservation{endpoint: plan.Endpoints[i], tokens: tokens})
		}
	}
	if err := s.takeAll(ctx); err != nil {
		r.server.logger.Warn().Str("request", r.request.ID).Str("ticket", s.ticket).Int("endpoints", len(s.held)).
			Err(err).Msg("Memory was not reserved.")
		go s.releaseAll()
		return nil, errors.Join(errNoMemory, err)
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = stop
	go s.renew(renewing)
	return s, nil
}

// takeAll asks all endpoints at once.
func (s *reservations) takeAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var work sync.WaitGroup
	errs := make([]error, len(s.held))
	for i, h := range s.held {
		work.Go(func() {
			errs[i] = s.run.server.upstream.Reserve(ctx, h.endpoint, s.ticket, h.tokens, reservationHold)
		})
	}
	work.Wait()
	for i, err := range errs {
		if err != nil {
			s.run.server.book.RecordRefusal(s.held[i].endpoint.Key)
		}
	}
	return errors.Join(errs...)
}

// renew keeps the reservations until the attempt ends.
func (s *reservations) renew(ctx context.Context) {
	defer close(s.done)
	for wait.For(ctx, reservationRenew) {
		if err := s.takeAll(ctx); err != nil && ctx.Err() == nil {
			s.run.server.logger.Warn().Str("request", s.run.request.ID).Str("ticket", s.ticket).Err(err).
				Msg("A reservation was not renewed.")
		}
	}
}

// end releases the reservations. A nil one holds nothing.
func (s *reservations) end() {
	if s == nil {
		return
	}
	s.stop()
	go func() {
		<-s.done
		s.releaseAll()
	}()
}

// releaseAll releases each reservation, also those that were never confirmed:
// an order without an answer may have been carried out.
func (s *reservations) releaseAll() {
	for _, h := range s.held {
		s.release(h)
	}
}

func (s *reservations) release(h reservation) {
	var err error
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		err = s.run.server.upstream.Release(ctx, h.endpoint, s.ticket)
		cancel()
		if err == nil {
			return
		}
		wait.For(context.Background(), releasePause)
	}
	s.run.server.logger.Warn().Str("request", s.run.request.ID).Str("ticket", s.ticket).Str("endpoint", h.endpoint.ID).
		Dur("lasts_at_most", reservationHold).Err(err).Msg("A reservation was not released; it runs out by itself.")
}

// ticketAt names the reservation at an endpoint, empty without one.
func (s *reservations) ticketAt(e *directory.Endpoint) string {
	if s == nil {
		return ""
	}
	for _, h := range s.held {
		if h.endpoint == e {
			return s.ticket
		}
	}
	return ""
}
