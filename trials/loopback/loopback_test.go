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

// Guards against a process that gets the calls of a client which still calls the address of
// a process of an earlier program, whose ports are free again.
func TestReservedAddressesAreNeverUsedAgain(t *testing.T) {
	const programs = 1000 // of 16,000 ports
	used := make(map[string]bool)
	for range programs {
		address, err := ReserveAddress()
		if err != nil {
			t.Fatal(err)
		}
		if used[address] {
			t.Fatalf("%s was used before", address)
		}
		used[address] = true
		releaseLast()
	}
}

// releaseLast gives the last reserved port back, as the end of its program does.
func releaseLast() {
	held.mu.Lock()
	defer held.mu.Unlock()
	last := len(held.locks) - 1
	release(held.locks[last:])
	held.locks = held.locks[:last]
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
