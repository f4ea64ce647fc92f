package loopback

import (
	"sync"
	"testing"
)

// Two fleets that run at the same time must not share a port, or their processes join each
// other's fleet or can't listen.
func TestPortsAreNeverReservedTwice(t *testing.T) {
	const fleets, ports = 100, 5
	var mu sync.Mutex
	reserved := make(map[int]bool)
	var work sync.WaitGroup
	for range fleets {
		work.Go(func() {
			first, err := ReservePorts(ports)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for port := first; port < first+ports; port++ {
				if reserved[port] {
					t.Errorf("port %d was reserved twice", port)
				}
				reserved[port] = true
			}
		})
	}
	work.Wait()
}

// A port on which another address of the machine listens must not be reserved.
func TestPortInUseIsNotReserved(t *testing.T) {
	first, err := ReservePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	if reserve(first, 1) || reserve(first-1, 2) {
		t.Error("a reserved port was reserved again")
	}
}
