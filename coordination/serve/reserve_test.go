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

// longBed has endpoints whose memory of 1,000 tokens is less than a prompt's.
func longBed(t *testing.T, answers ...func(context.Context, *Attempt) (*Response, error)) *bed {
	b := newBed(t, answers...)
	b.currentFor(0)
	for i := range 4 {
		b.directory.Announce(&wire.EndpointRecord{
			Id: fmt.Sprintf("long%d", i), BornMs: 1, Sequence: 1, Service: "engine", DataCentre: "dc1", Slots: 4,
			Address: fmt.Sprintf("10.1.0.%d:80", i),
		})
	}
	return b
}

func (b *bed) serveLong(t *testing.T) *given {
	g := &given{}
	b.server.Serve(t.Context(), &Request{
		ID: "r1", Method: "POST", Host: "h", Path: "/long/x", Target: "/long/x", Header: http.Header{}, APIKey: "key",
		Arrived: time.Now(), TimeLimit: 20 * time.Second, PromptTokens: 2000, MaxOutputTokens: 10,
	}, g)
	return g
}

func TestAPromptLargerThanAnEndpointIsHeldByReservations(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		var b *bed
		b = longBed(t, func(ctx context.Context, a *Attempt) (*Response, error) {
			tickets := 0
			for _, h := range a.Helpers {
				if h.Ticket != "" {
					tickets++
				}
			}
			if held := b.reserved(); held < 1000 || tickets == 0 {
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
		first := len(b.sendings()[0].Helpers)
		if b.orders < 2*first/2+1 {
			t.Errorf("%d orders in four seconds: the reservations were not renewed", b.orders)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if held := b.reserved(); held != 0 {
			t.Errorf("%d tokens stay reserved", held)
		}
	})
}

// When one endpoint has no memory, what the others gave is released and another
// plan is tried.
func TestReservationsAreAllOrNothing(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := longBed(t, good(events(1, 2)))
		b.refuses = "long1"
		b.serveLong(t)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if held := b.reserved(); held != 0 {
			t.Errorf("%d tokens stay reserved", held)
		}
		for _, a := range b.sendings() {
			for _, h := range append(a.Helpers, Helper{Address: a.Endpoint.Address}) {
				if h.Address == "10.1.0.1:80" && h.Ticket != "" {
					t.Error("sent with a ticket that was refused")
				}
			}
		}
	})
}

// A broken answer releases too.
func TestReservationsEndWithAFailedAttempt(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := longBed(t, reset, reset, reset)
		b.serveLong(t)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if held := b.reserved(); held != 0 {
			t.Errorf("%d tokens stay reserved", held)
		}
	})
}
