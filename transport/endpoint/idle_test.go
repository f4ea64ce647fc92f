package endpoint

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"github.com/apricotspoke/apricotspoke/trials/httpserver"
)

const (
	probeTime = time.Second // of a call, as in package gate
	parallel  = 4           // calls that open a connection each
	maxSilent = 1           // the call that finds out
)

// startParallel starts a server behind a proxy that answers its first calls only once
// parallel of them have arrived, so that each has a connection of its own.
func startParallel(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	var arrived sync.WaitGroup
	arrived.Add(parallel)
	var handled atomic.Int32
	server := httpserver.Start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if handled.Add(1) <= parallel {
			arrived.Done()
			arrived.Wait()
		}
		_, _ = w.Write([]byte("{}")) // the caller sees if it is lost
	}))
	proxy, err := faultproxy.New(server.Listener.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

// Guards against each idle connection that has fallen silent costing a probe of its own,
// during which the gate dispatches nothing.
func TestOneCallFindsAllSilentConnections(t *testing.T) {
	proxy := startParallel(t)
	client := NewClient()
	client.SetAddress(proxy.Address())
	var calls sync.WaitGroup
	for range parallel {
		calls.Go(func() {
			if _, err := client.Load(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	if n := proxy.BlackholeConnections(faultproxy.Both); n != parallel {
		t.Fatalf("%d open connections, want %d", n, parallel)
	}
	silent := 0
	for err := context.DeadlineExceeded; err != nil && silent < parallel; {
		ctx, cancel := context.WithTimeout(t.Context(), probeTime)
		if _, err = client.Load(ctx); err != nil {
			silent++
		}
		cancel()
	}
	if silent > maxSilent {
		t.Errorf("%d calls got no answer, want %d", silent, maxSilent)
	}
}
