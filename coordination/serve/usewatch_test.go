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

	mu    sync.Mutex
	all   []*holding
	uses  map[string]*use // by ticket
	asked int
	// losing names the calls whose response is lost: reserve, renew or release. They are
	// executed late.
	losing      string
	late        time.Duration
	hanging     bool // renewals get no response until they are cancelled, and are not executed
	releases    int
	unreported  bool          // reports get no response
	reportDelay time.Duration // how old reports are
}

// holding is one time for which an endpoint holds memory under a ticket.
type holding struct {
	endpoint, ticket string
	tokens           int
	from, until      monotonic.Time
}

// use is the time for which a request uses the memory under a ticket.
type use struct{ from, until monotonic.Time }

func newTicketFleet(t *testing.T, responses ...func(context.Context, *Attempt) (*Response, error)) *ticketFleet {
	f := &ticketFleet{testbed: newEngineTestbed(t, responses...), uses: make(map[string]*use)}
	clock := clockOfTest()
	f.clock = func() monotonic.Time { return clock().Add(time.Duration(f.suspended.Load())) }
	f.server.upstream, f.server.now = f, f.clock
	settings := *f.server.settings.Load()
	settings.ReservedUnusedFor, settings.ReleasedWithin = unusedBound, releaseBound
	f.server.SetSettings(settings)
	return f
}

// heldAt returns what an endpoint holds now, and what of it under a ticket, nil if nothing.
// The caller holds the lock.
func (f *ticketFleet) heldAt(e *directory.Endpoint, ticket string) (all []*holding, own *holding) {
	for _, h := range f.all {
		if h.endpoint != e.ID || h.until <= f.clock() {
			continue
		}
		all = append(all, h)
		if h.ticket == ticket {
			own = h
		}
	}
	return all, own
}

// call executes a call now, or late without a response. The caller holds the lock.
func (f *ticketFleet) call(name string, execute func()) error {
	if name != f.losing {
		execute()
		return nil
	}
	time.AfterFunc(f.late, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		execute()
	})
	return fault.New(fault.OutcomeUnknown, "no response")
}

// Reserve implements Upstream.
func (f *ticketFleet) Reserve(ctx context.Context, e *directory.Endpoint, ticket string, tokens int, ttl time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	name, used := "reserve", tokens
	all, own := f.heldAt(e, ticket)
	for _, h := range all {
		used += h.tokens
	}
	if own != nil {
		name = "renew"
		if f.hanging {
			f.mu.Unlock()
			<-ctx.Done()
			f.mu.Lock()
			return fault.New(fault.OutcomeUnknown, "no response")
		}
	} else if used > endpointMemory {
		f.refusals.Add(1)
		return fault.New(fault.EndpointFailed, "no memory")
	}
	return f.call(name, func() {
		_, h := f.heldAt(e, ticket)
		if h == nil {
			h = &holding{endpoint: e.ID, ticket: ticket, tokens: tokens, from: f.clock()}
			f.all = append(f.all, h)
		}
		h.until = f.clock().Add(ttl)
	})
}

// Release implements Upstream.
func (f *ticketFleet) Release(_ context.Context, e *directory.Endpoint, ticket string) error {
	time.Sleep(20 * time.Millisecond) // as to another region
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases++
	return f.call("release", func() {
		if _, h := f.heldAt(e, ticket); h != nil {
			h.until = f.clock()
		}
	})
}

// Tickets implements Upstream.
func (f *ticketFleet) Tickets(_ context.Context, e *directory.Endpoint) (tickets []Ticket, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.unreported {
		return nil, fault.New(fault.EndpointFailed, "no response")
	}
	all, _ := f.heldAt(e, "")
	for _, h := range all {
		state := TicketHeld
		if u := f.uses[h.ticket]; u != nil && f.clock().Sub(u.from) >= f.reportDelay {
			state = TicketUsed
		}
		tickets = append(tickets, Ticket{ID: h.ticket, State: state})
	}
	return tickets, nil
}

// use marks the tickets of an attempt as used until the attempt ends.
func (f *ticketFleet) use(ctx context.Context, a *Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := &use{from: f.clock()}
	for _, h := range a.Helpers {
		f.uses[h.Ticket] = u
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		u.until = f.clock()
	})
}

// check reports the memory that was reserved beyond the bounds.
func (f *ticketFleet) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	made := make(map[string]bool)
	for _, h := range f.all {
		key := h.endpoint + h.ticket
		if made[key] && f.suspended.Load() > 0 {
			t.Errorf("memory at %s was reserved anew after the suspension", h.endpoint)
		}
		made[key] = true
		if u := f.uses[h.ticket]; u != nil && h.until.Sub(u.until) > releaseBound {
			t.Errorf("memory at %s stays reserved for %v after the request that used it", h.endpoint, h.until.Sub(u.until))
		} else if u == nil && h.until.Sub(h.from) > unusedBound {
			t.Errorf("memory at %s was reserved for %v without a request that used it", h.endpoint, h.until.Sub(h.from))
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
		"releases are lost":                     {silent, func(f *ticketFleet) { f.losing, f.late = "release", time.Hour }},
		"releases are executed late":            {silent, func(f *ticketFleet) { f.losing, f.late = "release", 2*time.Second }},
		"renewals are executed late":            {silent, func(f *ticketFleet) { f.losing, f.late = "renew", 2200*time.Millisecond }},
		"renewals are lost":                     {silent, func(f *ticketFleet) { f.losing, f.late = "renew", time.Hour }},
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

// Guards against a back-off of an endpoint that is only busy with earlier prompts, and
// against none of one that accepts no connections.
func TestAbandonedAttemptMarksOnlyAnUnreachableEndpoint(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		inFleet(t, func(t *testing.T, f *ticketFleet) {
			backingOff := -1
			f.responses = []func(context.Context, *Attempt) (*Response, error){
				func(ctx context.Context, a *Attempt) (*Response, error) {
					f.unreachable = map[string]bool{a.Endpoint.ID: cutOff}
					return silent(ctx, a)
				},
				func(ctx context.Context, a *Attempt) (*Response, error) {
					time.Sleep(100 * time.Millisecond) // longer than after a refusal, shorter than after a failure
					backingOff = f.scheduler.Stats().BackingOff
					return good(events(1, 3))(ctx, a)
				},
			}
			if g := f.serveLong(t); g.status != http.StatusOK || backingOff > 0 != cutOff {
				t.Errorf("cut off %v: status %d, %d endpoints in back-off", cutOff, g.status, backingOff)
			}
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
		f.losing, f.late = "renew", 1400*time.Millisecond
		f.serveLong(t)
	})
}

// Guards against many releases after each answer whose end cancels a renewal.
func TestCancelledRenewalCostsOneMoreRelease(t *testing.T) {
	inFleet(t, func(t *testing.T, f *ticketFleet) {
		f.responses = []func(context.Context, *Attempt) (*Response, error){f.silentUsing(0, 1600*time.Millisecond)}
		f.hanging = true
		f.serveLong(t)
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if parts := len(f.all); f.releases != 2*parts {
			t.Errorf("%d releases of %d reservations", f.releases, parts)
		}
	})
}

// Guards against a round of reports that failed after a suspension and was taken for "not
// used" although the answer was running.
func TestFailedReportsAfterASuspensionAreAskedForAgain(t *testing.T) {
	inFleet(t, func(t *testing.T, f *ticketFleet) {
		f.responses = []func(context.Context, *Attempt) (*Response, error){func(ctx context.Context, a *Attempt) (*Response, error) {
			f.use(ctx, a)
			return silentAfter(ctx, events(1, 2))
		}}
		f.unreported = true
		f.suspendAfter2s(5 * time.Second)
		f.serveLong(t)
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if parts := len(f.all); f.asked != maxGapAsks*parts || !f.hasMetric(`serve_reservations{organisation="",class="used"} 1`) {
			t.Errorf("%d reports of %d endpoints, or the outcome is not used", f.asked, parts)
		}
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
