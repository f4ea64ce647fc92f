package serve

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

const (
	unusedBound    = 9 * time.Second // idleMaxMs of all deployments
	endpointMemory = 1000            // tokens, as newEngineTestbed has it
	releaseBound   = 4 * time.Second // releaseMs of all deployments
)

// ticketFleet is the upstream of a testbed whose endpoints hold reservations as the
// platform's do: each until its time has passed, whoever made it and when.
type ticketFleet struct {
	*testbed
	suspended atomic.Int64 // time for which the host of the entry has been suspended
	refusals  atomic.Int64 // of memory
	clock     func() monotonic.Time

	mu        sync.Mutex
	held      map[string]*holding // by endpoint and ticket
	all       []*holding
	usedUntil map[string]monotonic.Time // by ticket, when the last request that used it ended
	asked     int
	// onCall returns how late a call is executed whose response is lost, 0 for a call
	// that gets its response. It is nil if all do.
	onCall      func(operation string) (late time.Duration)
	unreported  bool          // reports get no response
	reportDelay time.Duration // how old reports are
	usedSince   map[string]monotonic.Time
}

// holding is one time for which an endpoint holds memory under a ticket.
type holding struct {
	key, ticket string
	tokens      int
	from, until monotonic.Time
}

func newTicketFleet(t *testing.T, responses ...func(context.Context, *Attempt) (*Response, error)) *ticketFleet {
	f := &ticketFleet{
		testbed: newEngineTestbed(t, responses...), held: make(map[string]*holding),
		usedUntil: make(map[string]monotonic.Time), usedSince: make(map[string]monotonic.Time),
	}
	clock := clockOfTest()
	f.clock = func() monotonic.Time { return clock().Add(time.Duration(f.suspended.Load())) }
	f.server.upstream, f.server.now = f, f.clock
	settings := *f.server.settings.Load()
	settings.ReservedUnusedFor, settings.ReleasedWithin = unusedBound, releaseBound
	f.server.SetSettings(settings)
	return f
}

// call executes a call now, or late without a response.
func (f *ticketFleet) call(operation string, execute func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := time.Duration(0)
	if f.onCall != nil {
		late = f.onCall(operation)
	}
	if late == 0 {
		execute()
		return nil
	}
	time.AfterFunc(late, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		execute()
	})
	return fault.New(fault.OutcomeUnknown, "no response")
}

// Reserve implements Upstream.
func (f *ticketFleet) Reserve(_ context.Context, e *directory.Endpoint, ticket string, tokens int, ttl time.Duration) error {
	key, operation := e.ID+" "+ticket, "reserve"
	if f.isHeld(key) {
		operation = "renew"
	} else if f.heldAt(e.ID)+tokens > endpointMemory {
		f.refusals.Add(1)
		return fault.New(fault.EndpointFailed, "no memory")
	}
	return f.call(operation, func() {
		now := f.clock()
		h := f.held[key]
		if h == nil || h.until <= now {
			h = &holding{key: key, ticket: ticket, tokens: tokens, from: now}
			f.held[key], f.all = h, append(f.all, h)
		}
		h.until = now.Add(ttl)
	})
}

func (f *ticketFleet) isHeld(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.held[key]
	return h != nil && f.clock() < h.until
}

// heldAt returns the tokens that are reserved at an endpoint.
func (f *ticketFleet) heldAt(id string) (tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.held {
		if strings.HasPrefix(h.key, id+" ") && f.clock() < h.until {
			tokens += h.tokens
		}
	}
	return tokens
}

// Release implements Upstream.
func (f *ticketFleet) Release(_ context.Context, e *directory.Endpoint, ticket string) error {
	time.Sleep(20 * time.Millisecond) // as to another region
	return f.call("release", func() {
		if h := f.held[e.ID+" "+ticket]; h != nil {
			h.until = min(h.until, f.clock())
		}
	})
}

// Tickets implements Upstream.
func (f *ticketFleet) Tickets(_ context.Context, e *directory.Endpoint) ([]Ticket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.unreported {
		return nil, fault.New(fault.EndpointFailed, "no response")
	}
	var tickets []Ticket
	for _, h := range f.held {
		if !strings.HasPrefix(h.key, e.ID+" ") || h.until <= f.clock() {
			continue
		}
		state := TicketHeld
		if since, used := f.usedSince[h.ticket]; used && f.clock().Sub(since) >= f.reportDelay {
			state = TicketUsed
		}
		tickets = append(tickets, Ticket{ID: h.ticket, State: state, Age: f.clock().Sub(h.from)})
	}
	return tickets, nil
}

// use marks the tickets of an attempt as used until the attempt ends.
func (f *ticketFleet) use(ctx context.Context, a *Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range a.Helpers {
		if h.Ticket != "" {
			f.usedSince[h.Ticket] = f.clock()
		}
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, h := range a.Helpers {
			f.usedUntil[h.Ticket] = f.clock()
		}
	})
}

// check reports the memory that was reserved beyond the bounds.
func (f *ticketFleet) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	made := make(map[string]bool)
	for _, h := range f.all {
		if made[h.key] && f.suspended.Load() > 0 {
			t.Errorf("%s was reserved anew after the suspension", h.key)
		}
		made[h.key] = true
		if _, used := f.usedSince[h.ticket]; used {
			if over := h.until.Sub(f.usedUntil[h.ticket]); over > releaseBound {
				t.Errorf("%s stays reserved for %v after the request that used it", h.key, over)
			}
			continue
		}
		if idle := h.until.Sub(h.from); idle > unusedBound {
			t.Errorf("%s was reserved for %v without a request that used it", h.key, idle)
		}
	}
}

// silentUsing is silent while it reads the prompt, from begin on and for a time, and
// then answers.
func (f *ticketFleet) silentUsing(begin, lasts time.Duration) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		time.AfterFunc(begin, func() {
			if ctx.Err() == nil {
				f.use(ctx, a)
			}
		})
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(begin + lasts):
			return good(events(1, 3))(ctx, a)
		}
	}
}

// losing returns a function for onCall with which the calls of one operation get no
// response and are executed late.
func losing(operation string, late time.Duration) func(string) time.Duration {
	return func(o string) time.Duration {
		if o == operation {
			return late
		}
		return 0
	}
}

// suspendAfter2s suspends the host of the entry.
func (f *ticketFleet) suspendAfter2s(lasts time.Duration) {
	time.AfterFunc(2*time.Second, func() { f.suspended.Add(int64(lasts)) })
}

// restartMain starts the endpoint of the first attempt anew.
func (f *ticketFleet) restartMain() { f.announceEngine(f.sentAttempts()[0].Endpoint.ID, 2, 1) }

// inFleet runs a test in virtual time and checks the bounds when all has ended.
func inFleet(t *testing.T, test func(t *testing.T, f *ticketFleet)) {
	bubble.Run(t, func(t *testing.T) {
		f := newTicketFleet(t)
		test(t, f)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		f.check(t)
	})
}

// Guards against memory that stays reserved at other endpoints until the request's time
// limit because the endpoint that was to use it never begins. The first response is that
// of the failure, the second that of another endpoint.
func TestReservationThatNoRequestUsesIsReleased(t *testing.T) {
	for name, c := range map[string]struct {
		first   func(context.Context, *Attempt) (*Response, error)
		prepare func(f *ticketFleet)
	}{
		"the main endpoint hangs":               {silent, nil},
		"its reports get no response either":    {silent, func(f *ticketFleet) { f.unreported = true }},
		"it sends a header and never begins":    {func(ctx context.Context, _ *Attempt) (*Response, error) { return silentAfter(ctx, "") }, nil},
		"it sends comments and never begins":    {func(ctx context.Context, _ *Attempt) (*Response, error) { return silentAfter(ctx, ": wait\n\n") }, nil},
		"it is cut off and still announced":     {silent, func(f *ticketFleet) { f.unreachable = map[string]bool{"long0": true, "long1": true} }},
		"it restarts after 2 s":                 {silent, func(f *ticketFleet) { time.AfterFunc(2*time.Second, f.restartMain) }},
		"releases are lost":                     {silent, func(f *ticketFleet) { f.onCall = losing("release", time.Hour) }},
		"releases are executed late":            {silent, func(f *ticketFleet) { f.onCall = losing("release", 2*time.Second) }},
		"renewals are executed late":            {silent, func(f *ticketFleet) { f.onCall = losing("renew", 2200*time.Millisecond) }},
		"renewals are lost":                     {silent, func(f *ticketFleet) { f.onCall = losing("renew", time.Hour) }},
		"the entry's host is suspended for 5 s": {silent, func(f *ticketFleet) { f.suspendAfter2s(5 * time.Second) }},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *ticketFleet) {
				f.responses = []func(context.Context, *Attempt) (*Response, error){c.first, good(events(1, 3))}
				if c.prepare != nil {
					c.prepare(f)
				}
				// While releases are lost, the memory for another try is not free.
				g := f.serveLong(t)
				if wanted := !strings.HasPrefix(name, "releases") || g.status == http.StatusOK; wanted && g.body.String() != events(1, 3) {
					t.Errorf("the request got %d, %v, and was not served elsewhere", g.status, g.fault)
				}
			})
		})
	}
}

// A prompt that is read for long must not be abandoned while its reservations are used,
// also if the reports are some hundred ms old, and costs few reports.
func TestPromptIsNotAbandonedWhileItsReservationsAreUsed(t *testing.T) {
	for begin, lasts := range map[time.Duration]time.Duration{0: 3 * time.Second, time.Second: 11 * time.Second, 3700 * time.Millisecond: 11 * time.Second} {
		inFleet(t, func(t *testing.T, f *ticketFleet) {
			f.responses = []func(context.Context, *Attempt) (*Response, error){f.silentUsing(begin, lasts)}
			f.reportDelay = 300 * time.Millisecond
			if begin == time.Second {
				f.suspendAfter2s(1800 * time.Millisecond) // beyond the times at which reports are asked for
			}
			if g := f.serveLong(t); g.status != http.StatusOK || len(f.sentAttempts()) != 1 {
				t.Errorf("used after %v: status %d, %v, after %d attempts", begin, g.status, g.fault, len(f.sentAttempts()))
			}
			if parts := len(f.all); f.asked > 1+parts || f.asked > 0 && begin == 0 {
				t.Errorf("used after %v: %d reports for %d reservations", begin, f.asked, parts)
			}
		})
	}
}

// Guards against a renewal that is executed after the release: it reserves the memory of
// a request that has ended for another reservationTTL.
func TestRenewalExecutedAfterTheReleaseIsReleased(t *testing.T) {
	inFleet(t, func(t *testing.T, f *ticketFleet) {
		f.responses = []func(context.Context, *Attempt) (*Response, error){f.silentUsing(0, 2*time.Second)}
		f.onCall = losing("renew", 1400*time.Millisecond)
		f.serveLong(t)
	})
}

// Without the bounds in the settings the reservations are kept as before.
func TestReservationsWithoutBoundsAreNotDoubted(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := newTicketFleet(t, silent)
		settings := *f.server.settings.Load()
		settings.ReservedUnusedFor, settings.ReleasedWithin = 0, 0
		f.server.SetSettings(settings)
		f.serveLong(t)
		if waited := f.clock().Sub(f.all[0].from); f.asked > 0 || waited < 19*time.Second {
			t.Errorf("%d reports, ended after %v", f.asked, waited)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against an attempt that is refused memory because the reservations of the attempt
// before it are still being released, or because it asks an endpoint again that has just
// refused.
func TestNextAttemptDoesNotCompeteWithTheOneBefore(t *testing.T) {
	inFleet(t, func(t *testing.T, f *ticketFleet) {
		f.responses = []func(context.Context, *Attempt) (*Response, error){good(events(1, 3)), good(events(1, 3))}
		_ = f.Reserve(t.Context(), &directory.Endpoint{ID: "long1"}, "of another entry", endpointMemory, 3*time.Second)
		for range 2 {
			if g := f.serveLong(t); g.status != http.StatusOK || f.refusals.Load() > 1 {
				t.Errorf("status %d, %v, after %d refusals of memory", g.status, g.fault, f.refusals.Load())
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a renewal after a suspension: the reservations of an answer that has begun
// have expired and would be made anew.
func TestReservationIsNotMadeAnewAfterASuspension(t *testing.T) {
	inFleet(t, func(t *testing.T, f *ticketFleet) {
		f.responses = []func(context.Context, *Attempt) (*Response, error){func(ctx context.Context, a *Attempt) (*Response, error) {
			f.use(ctx, a)
			return silentAfter(ctx, events(1, 2))
		}}
		f.suspendAfter2s(5 * time.Second)
		f.serveLong(t)
	})
}
