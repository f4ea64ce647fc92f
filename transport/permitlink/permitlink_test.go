package permitlink

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/permits"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const key = 7

// An issuer that has never heard of a limit must learn it from the entry that asks.
func TestIssuerLearnsTheLimitFromTheEntryThatAsks(t *testing.T) {
	listener := loopback.Listen(t)
	address := listener.Addr().String()
	limits := placement.NewScheduler(time.Now)
	processes := func() []*wire.ProcessRecord { return []*wire.ProcessRecord{{Address: address, Entry: true}} }
	server := link.NewServer(link.Security{})
	wire.RegisterPermitsServer(server, NewServer(permits.New(address, limits, processes, nil, monotonic.Now)))
	go func() { _ = server.Serve(listener) }() // ends when the server is stopped
	t.Cleanup(server.Stop)
	pool := link.NewPool(link.Security{})
	t.Cleanup(pool.Close)
	response, err := NewAsk(pool)(t.Context(), address, &wire.PermitRequest{Endpoint: key, RateLimit: &wire.RateLimit{Revision: 3, PerSecond: 2}})
	if err != nil {
		t.Fatal(err)
	}
	if response.Granted || response.RetryAfterMs == 0 {
		t.Errorf("an issuer that knew no limit before issued %v, want a time", response)
	}
	if got := limits.RateLimit(key); got != 2 {
		t.Errorf("the issuer knows the limit %v, want 2", got)
	}
}

// A connection that has gone silent must not be used for the next permit.
func TestSilentConnectionIsReplaced(t *testing.T) {
	listener := loopback.Listen(t) // accepts connections, never answers
	pool := link.NewPool(link.Security{})
	t.Cleanup(pool.Close)
	address := listener.Addr().String()
	before, err := pool.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := NewAsk(pool)(ctx, address, &wire.PermitRequest{Endpoint: key}); err == nil {
		t.Fatal("a silent issuer answered")
	}
	after, err := pool.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	if after == before {
		t.Error("the silent connection is kept")
	}
}
