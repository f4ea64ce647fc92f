package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// newEngineTestbed has endpoints with memory for 1,000 tokens, less than the prompts
// of the tests need.
func newEngineTestbed(t *testing.T, answers ...func(context.Context, *Attempt) (*Response, error)) *testbed {
	b := newTestbed(t, answers...)
	b.setMaxStateAge(0)
	for i := range engineEndpoints {
		b.announceEngine(fmt.Sprintf("long%d", i), 1, 1)
	}
	return b
}

const engineEndpoints = 4

// engineAddress returns the address of an endpoint "long0" and so on.
func engineAddress(id string) string { return "10.1.0." + strings.TrimPrefix(id, "long") + ":80" }

func (b *testbed) announceEngine(id string, bornMs, sequence uint64) {
	b.directory.Announce(&wire.EndpointRecord{
		Id: id, BornMs: bornMs, Sequence: sequence, Service: "engine", DataCentre: "dc1", Slots: 4, Address: engineAddress(id),
	})
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

// Guards against memory that stays reserved at other endpoints until the deadline because the
// connection to the lost endpoint of a prompt is still open.
func TestReservationsEndWithTheirLostEndpoint(t *testing.T) {
	const bound = 4 * time.Second // after the end of the request: releaseMs of all deployments
	const interval = 1200 * time.Millisecond
	losses := map[string]func(b *testbed, id string){
		"its host has lost power": func(b *testbed, id string) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.unreachable = map[string]bool{id: true}
		},
		"it starts anew after 2 s": func(b *testbed, id string) {
			time.Sleep(2 * time.Second)
			b.announceEngine(id, 2, 1)
		},
		"its address is another's after 2 s": func(b *testbed, id string) {
			time.Sleep(2 * time.Second)
			b.directory.Announce(&wire.EndpointRecord{Id: "new", BornMs: 2, Sequence: 1, Service: "s", DataCentre: "dc1", Slots: 4, Address: engineAddress(id)})
		},
	}
	for name, lose := range losses {
		for _, begun := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, begun %v", name, begun), func(t *testing.T) {
				bubble.Run(t, func(t *testing.T) { testLostEndpoint(t, interval, bound, begun, lose) })
			})
		}
	}
}

// testLostEndpoint loses the endpoint of a prompt 48 ms after the send, while the others go
// on announcing themselves.
func testLostEndpoint(t *testing.T, interval, bound time.Duration, begun bool, lose func(b *testbed, id string)) {
	sent := make(chan string, 1) // ID of the endpoint
	b := newEngineTestbed(t, func(ctx context.Context, a *Attempt) (*Response, error) {
		sent <- a.Endpoint.ID
		if !begun {
			return silent(ctx, a)
		}
		return silentAfter(ctx, events(1, 2))
	})
	settings := *b.server.settings.Load()
	settings.AnnounceInterval = interval
	b.server.SetSettings(settings)
	ctx, stop := context.WithCancel(t.Context())
	var lost atomic.Pointer[string]
	go b.keepAnnouncing(ctx, interval, &lost)
	served := make(chan *recorder)
	go func() { served <- b.serveLong(t) }()
	id := <-sent
	time.Sleep(48 * time.Millisecond)
	lost.Store(&id)
	if b.totalReserved() == 0 {
		t.Error("nothing is reserved")
	}
	go lose(b, id)
	time.Sleep(bound)
	if held := b.totalReserved(); held != 0 {
		t.Errorf("%d tokens are still reserved %v after the endpoint was lost", held, bound)
	}
	<-served
	stop()
	time.Sleep(interval)
}

// keepAnnouncing announces all endpoints but a lost one at intervals.
func (b *testbed) keepAnnouncing(ctx context.Context, interval time.Duration, lost *atomic.Pointer[string]) {
	for sequence := uint64(2); wait.For(ctx, interval); sequence++ {
		for i := range engineEndpoints {
			id := fmt.Sprintf("long%d", i)
			if gone := lost.Load(); gone == nil || *gone != id {
				b.announceEngine(id, 1, sequence)
			}
		}
	}
}

// silentAfter responds with the beginning of a body that goes on with nothing.
func silentAfter(ctx context.Context, text string) (*Response, error) {
	r, w := io.Pipe()
	go func() { _, _ = io.WriteString(w, text) }() // fails when the reader is gone
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
	return &Response{Status: 200, Header: http.Header{}, Body: r, Signed: true, MatchesAttempt: true}, nil
}

// The memory of a request whose entry is killed must be free within the users' bound, also
// if a renewal was on its way.
func TestReservationOfAKilledEntryEndsWithinTheBound(t *testing.T) {
	const bound = 4 * time.Second // after the end of the request: releaseMs of all deployments
	if longest := reserveTimeout + reservationTTL; longest > bound {
		t.Errorf("memory stays reserved for up to %v after the end of a request, allowed are %v", longest, bound)
	}
}
