package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// newEngineTestbed has endpoints with memory for 1,000 tokens, less than the prompts
// of the tests need.
func newEngineTestbed(t *testing.T, answers ...func(context.Context, *Attempt) (*Response, error)) *testbed {
	b := newTestbed(t, answers...)
	b.setMaxStateAge(0)
	for i := range 4 {
		b.directory.Announce(&wire.EndpointRecord{
			Id: fmt.Sprintf("long%d", i), BornMs: 1, Sequence: 1, Service: "engine", DataCentre: "dc1", Slots: 4,
			Address: fmt.Sprintf("10.1.0.%d:80", i),
		})
	}
	return b
}

// serveLong serves a request with a prompt of 2,000 tokens.
func (b *testbed) serveLong(t *testing.T) *recorder {
	g := &recorder{}
	b.server.Serve(t.Context(), &Request{
		ID: "r1", Method: "POST", Host: "h", Path: "/long/x", Target: "/long/x", Header: http.Header{}, APIKey: "key",
		Arrived: time.Now(), TimeLimit: 20 * time.Second, PromptTokens: 2000, MaxOutputTokens: 10,
	}, g)
	return g
}

// A prompt larger than the memory of one endpoint is sent with reservations, which
// are renewed until the answer ends and then released.
func TestLargePromptReservesMemoryAtSeveralEndpoints(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		var b *testbed
		b = newEngineTestbed(t, func(ctx context.Context, a *Attempt) (*Response, error) {
			tickets := 0
			for _, h := range a.Helpers {
				if h.Ticket != "" {
					tickets++
				}
			}
			if held := b.totalReserved(); held < 1000 || tickets == 0 {
				t.Errorf("sent with %d tokens reserved under %d tickets", held, tickets)
			}
			r, w := io.Pipe()
			go func() {
				time.Sleep(4 * time.Second)
				_, _ = io.WriteString(w, events(1, 3)) // fails when the reader is gone
				_ = w.Close()
			}()
			return &Response{Status: 200, Header: http.Header{}, Body: r, Signed: true, MatchesAttempt: true}, nil
		})
		g := b.serveLong(t)
		if g.status != 200 || g.body.String() != events(1, 3) {
			t.Fatalf("status %d, %v", g.status, g.fault)
		}
		first := len(b.sentAttempts()[0].Helpers)
		if b.reserveCalls < 2*first/2+1 {
			t.Errorf("%d calls of Reserve in four seconds: the reservations were not renewed", b.reserveCalls)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if held := b.totalReserved(); held != 0 {
			t.Errorf("%d tokens stay reserved", held)
		}
	})
}

// When one endpoint refuses its reservation, those of the others are released and
// another plan is tried.
func TestReservationsAreAllOrNothing(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newEngineTestbed(t, good(events(1, 2)))
		b.refusingEndpoint = "long1"
		b.serveLong(t)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if held := b.totalReserved(); held != 0 {
			t.Errorf("%d tokens stay reserved", held)
		}
		for _, a := range b.sentAttempts() {
			for _, h := range append(a.Helpers, Helper{Address: a.Endpoint.Address}) {
				if h.Address == "10.1.0.1:80" && h.Ticket != "" {
					t.Error("sent with a ticket that was refused")
				}
			}
		}
	})
}

// A failed attempt releases its reservations.
func TestReservationsEndWithAFailedAttempt(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newEngineTestbed(t, reset, reset, reset)
		b.serveLong(t)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if held := b.totalReserved(); held != 0 {
			t.Errorf("%d tokens stay reserved", held)
		}
	})
}

// The memory of a request whose entry is killed must be free within the users' bound, also
// if a renewal was on its way.
func TestReservationOfAKilledEntryEndsWithinTheBound(t *testing.T) {
	const bound = 4 * time.Second // after the end of the request: releaseMs of all deployments
	if longest := reserveTimeout + reservationTTL; longest > bound {
		t.Errorf("memory stays reserved for up to %v after the end of a request, allowed are %v", longest, bound)
	}
}
